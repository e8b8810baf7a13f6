package issuertable

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/rendezvous"
)

const (
	// IssuersPerTarget is the number of daemons that may issue the permits of one target: its main issuers, and a fallback
	// for one that does not reply.
	IssuersPerTarget = 3
	// FallbackShare is the share of a limit that a fallback issues. The main issuers may be issuing all of it. The parts of a
	// partitioned fleet may issue as much more than one limit together: because of it, a few dead daemons, which look like a
	// partition, do not lower the load of limited targets.
	FallbackShare = 0.25
	// maxMainIssuers is the number of main issuers that divide a limit equally. With two, one that freezes leaves half of
	// the limit and the share of a fallback.
	maxMainIssuers = 2
)

// Member is a daemon that may issue permits.
type Member struct {
	Name             string
	AvailabilityZone string
}

// Table assigns targets and accounts to issuers by their resource IDs. The assignment depends only on the members, so daemons
// that know the same members agree on it. A nil Table has no issuers.
type Table struct {
	self      string
	members   []Member
	reachable float64
	createdAt time.Time

	mu sync.Mutex
	// ranks caches the issuers by resource ID.
	ranks map[string][]string
}

// New returns the table of the daemon named self. reachable is the share of the recently live daemons that this daemon
// can reach.
func New(self string, members []Member, reachable float64) *Table {
	return &Table{self: self, members: members, reachable: reachable, createdAt: time.Now(), ranks: map[string][]string{}}
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

// CreatedAt returns when the table was made: since then, the assignment has not changed.
func (t *Table) CreatedAt() time.Time { return t.createdAt }

// Rate returns the rate, in permits per second, at which this daemon issues the permits of a target with the given limit.
// It is 0 if the daemon is not an issuer of the target.
func (t *Table) Rate(target, zone string, perSecond float64) float64 {
	return perSecond * t.Share(target, zone, FallbackShare)
}

// Share returns the share of a limit that this daemon issues, or 0 if it is not an issuer of the resource. At most
// FallbackShare of the limit, and no more than overshoot, is issued beyond it by a fallback and in a partitioned fleet.
func (t *Table) Share(id, zone string, overshoot float64) float64 {
	if t == nil {
		return 0
	}
	share, main := t.Part(overshoot), t.MainIssuers()
	switch rank := slices.Index(t.Issuers(id, zone), t.self); {
	case rank < 0:
		return 0
	case rank < main:
		return share / float64(main)
	default:
		return share * min(FallbackShare, overshoot)
	}
}

// Part returns the share of a limit that this daemon's part of a partitioned fleet issues. All parts together issue no more
// than the limit and the surplus.
func (t *Table) Part(overshoot float64) float64 {
	return min(1, (1+min(FallbackShare, overshoot))*t.reachable)
}

// Same reports whether the table was made of the same values.
func (t *Table) Same(members []Member, reachable float64) bool {
	return t != nil && t.reachable == reachable && slices.Equal(t.members, members)
}
