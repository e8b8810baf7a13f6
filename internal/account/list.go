package account

import (
	"cmp"
	"slices"
)

// Limited returns the accounts that have a quota, those with the greatest rate first.
func (t Table) Limited() []Account {
	var out []Account
	for _, a := range t.names {
		if a.Quota.Limited() {
			out = append(out, *a)
		}
	}
	slices.SortFunc(out, func(a, b Account) int {
		return cmp.Or(cmp.Compare(b.Quota.PerSecond, a.Quota.PerSecond), cmp.Compare(a.Name, b.Name))
	})
	return out
}
