package issuertable

import (
	"slices"
	"sync"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/rendezvous"
)

// IssuersPerTarget is the number of daemons that may issue the permits of one target: the first one and its fallbacks.
const IssuersPerTarget = 3

// partitionSurplus is how much more than one limit the parts of a partitioned fleet may issue together. Because of it, a
// few dead daemons, which look like a partition, do not lower the load of limited targets.
const partitionSurplus = 1.25

// Member is a daemon that may issue permits.
type Member struct {
	Name             string
	AvailabilityZone string
}

// Table assigns targets to issuers. The assignment depends only on the members, so daemons that know the same members
// agree on it. A nil Table has no issuers.
type Table struct {
	self      string
	members   []Member
	reachable float64

	mu sync.Mutex
	// ranks caches the issuers by target.
	ranks map[string][]string
}

// New returns the table of the daemon named self. reachable is the share of the recently live daemons that this daemon
// can reach.
func New(self string, members []Member, reachable float64) *Table {
	return &Table{self: self, members: members, reachable: reachable, ranks: map[string][]string{}}
}

// Issuers returns the issuers of a target, the first one and then the fallbacks. They are in the target's availability
// zone if that has any members, because most requests for its permits come from there.
func (t *Table) Issuers(target, zone string) []string {
	if t == nil || len(t.members) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.ranks[target]; ok {
		return r
	}
	local, others := lo.FilterReject(t.members, func(m Member, _ int) bool { return m.AvailabilityZone == zone })
	name := func(m Member, _ int) string { return m.Name }
	ranked := rendezvous.PickN(target, lo.Map(local, name), IssuersPerTarget)
	if missing := IssuersPerTarget - len(ranked); missing > 0 {
		ranked = append(ranked, rendezvous.PickN(target, lo.Map(others, name), missing)...)
	}
	t.ranks[target] = ranked
	return ranked
}

// Rank returns this daemon's position among the issuers of a target, or -1 if it is none of them.
func (t *Table) Rank(target, zone string) int {
	if t == nil {
		return -1
	}
	return slices.Index(t.Issuers(target, zone), t.self)
}

// Share returns the share of a limit that the first issuer of a target issues. The parts of a partitioned fleet then
// issue no more than partitionSurplus limits together.
func (t *Table) Share() float64 { return min(1, partitionSurplus*t.reachable) }

// Same reports whether the table was made of the same values.
func (t *Table) Same(members []Member, reachable float64) bool {
	return t != nil && t.reachable == reachable && slices.Equal(t.members, members)
}
