package issuertable

import (
	"slices"
	"sync"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/rendezvous"
)

const (
	// IssuersPerTarget is the number of daemons that may issue the permits of one target: its main issuers, and a fallback
	// for one that does not reply.
	IssuersPerTarget = 3
	// FallbackShare is the share of a limit that a fallback issues. The main issuers may be issuing all of it.
	FallbackShare = 0.25
	// maxMainIssuers is the number of main issuers that divide a limit equally. With two, one that freezes leaves half of
	// the limit and the share of a fallback.
	maxMainIssuers = 2
	// partitionSurplus is how much more than one limit the parts of a partitioned fleet may issue together. Because of
	// it, a few dead daemons, which look like a partition, do not lower the load of limited targets.
	partitionSurplus = 1.25
)

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

// Issuers returns the issuers of a target, the main ones and then the fallback. They are in the target's availability
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

// MainIssuers returns the number of main issuers of each target.
func (t *Table) MainIssuers() int {
	if t == nil {
		return 0
	}
	return min(maxMainIssuers, len(t.members))
}

// Rate returns the rate, in permits per second, at which this daemon issues the permits of a target with the given limit.
// It is 0 if the daemon is not an issuer of the target.
func (t *Table) Rate(target, zone string, perSecond float64) float64 {
	if t == nil {
		return 0
	}
	main := t.MainIssuers()
	switch rank := slices.Index(t.Issuers(target, zone), t.self); {
	case rank < 0:
		return 0
	case rank < main:
		return perSecond * t.share() / float64(main)
	default:
		return perSecond * t.share() * FallbackShare
	}
}

// share returns the share of a limit that the main issuers of a target issue together. The parts of a partitioned fleet
// then issue no more than partitionSurplus limits.
func (t *Table) share() float64 { return min(1, partitionSurplus*t.reachable) }

// Same reports whether the table was made of the same values.
func (t *Table) Same(members []Member, reachable float64) bool {
	return t != nil && t.reachable == reachable && slices.Equal(t.members, members)
}
