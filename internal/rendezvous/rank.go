package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/membership"
)

type weighted struct {
	member membership.Member
	weight uint64
}

// Rank returns the members by descending weight for the key: the first one is in charge of the key, and each next one is
// the fallback of those before it.
func Rank(key string, members []membership.Member) []membership.Member {
	ws := make([]weighted, len(members))
	for i, m := range members {
		ws[i] = weighted{member: m, weight: xxhash.Sum64String(key + "\x00" + m.Name)}
	}
	slices.SortFunc(ws, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member.Name, b.member.Name))
	})
	return lo.Map(ws, func(w weighted, _ int) membership.Member { return w.member })
}

// RankZoneFirst is Rank with the members of one availability zone before all others.
func RankZoneFirst(key, zone string, members []membership.Member) []membership.Member {
	ranked := Rank(key, members)
	near, far := lo.FilterReject(ranked, func(m membership.Member, _ int) bool { return m.AvailabilityZone == zone })
	return append(near, far...)
}

// Spread returns the first n members of Rank, taken from as many availability zones as possible: each round over the
// ranking takes at most one member per zone.
func Spread(key string, members []membership.Member, n int) []membership.Member {
	rest := Rank(key, members)
	picked := make([]membership.Member, 0, n)
	for len(picked) < n && len(rest) > 0 {
		used := map[string]bool{}
		rest = lo.Filter(rest, func(m membership.Member, _ int) bool {
			if used[m.AvailabilityZone] || len(picked) == n {
				return true
			}
			used[m.AvailabilityZone] = true
			picked = append(picked, m)
			return false
		})
	}
	return picked
}

// Pick returns the name with the greatest weight for the key, or an empty string if there are no names.
func Pick(key string, names []string) string {
	best, bestWeight := "", uint64(0)
	for _, n := range names {
		if w := xxhash.Sum64String(key + "\x00" + n); best == "" || w > bestWeight {
			best, bestWeight = n, w
		}
	}
	return best
}

// PickN returns the n names with the greatest weights for the key, in descending order.
func PickN(key string, names []string, n int) []string {
	ranked := slices.Clone(names)
	weights := make(map[string]uint64, len(names))
	for _, name := range names {
		weights[name] = xxhash.Sum64String(key + "\x00" + name)
	}
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a, b))
	})
	// The copy releases the rest of the names: callers keep the result for many keys.
	return slices.Clone(ranked[:min(n, len(ranked))])
}
