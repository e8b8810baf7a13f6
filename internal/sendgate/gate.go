package sendgate

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/rendezvous"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
	"github.com/knapweedpoint/knapweedpoint/internal/targetnotice"
)

const (
	// coldAllowanceShare is the share of a cold target's allowance that is used; the rest covers daemons whose
	// membership views differ.
	coldAllowanceShare = 0.8
	// coldWindow is the sliding window in which sends to a cold target are counted: the second to which the
	// operators' bound applies, plus a tenth for sends that are delayed on the way.
	coldWindow = 1100 * time.Millisecond
)

// Rules bound the load of cold targets. A service without a rate has no bound: its cold targets are merely slower.
type Rules struct {
	// Rates are the requests per second that a cold target of each service can take.
	Rates map[string]float64
	// Overshoot and Slack define the requests that all daemons together may send to a cold target in one second:
	// Overshoot times its rate, plus Slack.
	Overshoot float64
	Slack     float64
}

// Gate decides which targets may receive work; its zero value bounds the load of no cold target.
type Gate struct {
	mu    sync.Mutex
	rules Rules
	name  string
	// members are the daemons that may send, including those that became unresponsive a short while ago.
	members []string
	zones   map[string]zone
	// sent holds the times of this daemon's latest sends to each cold target.
	sent map[string][]time.Time

	notices targetnotice.Register
}

// zone is the state of one availability zone: taken out, or back and treated as cold until a given time.
type zone struct {
	out       bool
	coldUntil time.Time
}

// SetRules replaces the rules.
func (g *Gate) SetRules(r Rules) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rules = r
}

// SetMembers replaces the daemon's name and the names of all daemons that may send. While there are no members,
// nothing is sent to a cold target that has a bound.
func (g *Gate) SetMembers(name string, members []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.name = name
	g.members = members
}

// SetZonesTakenOut replaces the availability zones that are taken out; a zone that comes back counts as cold until the
// given time.
func (g *Gate) SetZonesTakenOut(out []string, coldUntil time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.zones == nil {
		g.zones = map[string]zone{}
	}
	for name, z := range g.zones {
		if z.out && !slices.Contains(out, name) {
			g.zones[name] = zone{coldUntil: coldUntil}
		}
	}
	for _, name := range out {
		g.zones[name] = zone{out: true}
	}
}

// Eligible returns the targets that may receive work now: those without a bound or, if there are none, the
// cold ones for which this daemon has allowance left. The result may alias the argument.
func (g *Gate) Eligible(targets []inventory.Target, now time.Time) []inventory.Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	if lo.EveryBy(targets, func(t inventory.Target) bool { return g.accepting(t, now) && !g.bounded(t, now) }) {
		return targets
	}
	accepting := lo.Filter(targets, func(t inventory.Target, _ int) bool { return g.accepting(t, now) })
	bounded, unbounded := lo.FilterReject(accepting, func(t inventory.Target, _ int) bool { return g.bounded(t, now) })
	if len(unbounded) > 0 {
		return unbounded
	}
	return lo.Filter(bounded, func(t inventory.Target, _ int) bool { return g.hasAllowance(t, now) })
}

// Admit repeats the check of Eligible for one target at the moment of the send. It counts the send against the
// allowance of a cold target, and as the probe of a target whose hold has ended.
func (g *Gate) Admit(t inventory.Target, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	bounded := g.bounded(t, now)
	if !g.accepting(t, now) || bounded && !g.hasAllowance(t, now) || !g.notices.Admit(t, now) {
		return false
	}
	if !bounded {
		return true
	}
	if g.sent == nil {
		g.sent = map[string][]time.Time{}
	}
	g.sent[t.ID] = append(g.recentSends(t.ID, now), now)
	return true
}

// Observe records the notices in the result of a send that started at the given time.
func (g *Gate) Observe(t inventory.Target, result targetcall.Result, startedAt, now time.Time) targetnotice.Observation {
	return g.notices.Observe(t, result, startedAt, now)
}

// MarkLeaving records that a target is leaving. It gets nothing any more, even if an outdated entry of it says that it
// is ready.
func (g *Gate) MarkLeaving(t inventory.Target, now time.Time) targetnotice.Observation {
	return g.notices.MarkLeaving(t, now)
}

// Withdrawn reports whether a notice has arrived since the send to the target was admitted.
func (g *Gate) Withdrawn(t inventory.Target, now time.Time) bool { return g.notices.Withdrawn(t, now) }

// HoldWait returns how long it takes until the first of the targets that have asked for a hold may be sent to; false
// when there is none.
func (g *Gate) HoldWait(targets []inventory.Target, now time.Time) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	waits := lo.FilterMap(targets, func(t inventory.Target, _ int) (time.Duration, bool) {
		x, holding := g.notices.Standing(t, now).(targetnotice.HoldingOff)
		return x.Until.Sub(now), holding && g.inService(t)
	})
	return lo.Min(waits), len(waits) > 0
}

// LeftOut returns how many of the targets are leaving and how many have asked for a hold.
func (g *Gate) LeftOut(targets []inventory.Target, now time.Time) (leaving, holding int) {
	for _, t := range targets {
		switch g.notices.Standing(t, now).(type) {
		case targetnotice.Leaving:
			leaving++
		case targetnotice.HoldingOff:
			holding++
		}
	}
	return leaving, holding
}

// Retain removes what is recorded of targets that are gone, and returns those that are no longer leaving because the
// store has called them ready again for long enough.
func (g *Gate) Retain(published func(target string) (inventory.Target, bool), now time.Time) []inventory.Target {
	returned := g.notices.Retain(published, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.sent {
		if _, ok := published(id); !ok {
			delete(g.sent, id)
		}
	}
	return returned
}

// accepting reports whether the target is in service, is not leaving and has not asked for a hold.
func (g *Gate) accepting(t inventory.Target, now time.Time) bool {
	_, free := g.notices.Standing(t, now).(targetnotice.Free)
	return free && g.inService(t)
}

// inService reports whether the target is not draining and its availability zone is not taken out.
func (g *Gate) inService(t inventory.Target) bool {
	return !t.Draining && !g.zones[t.AvailabilityZone].out
}

// bounded reports whether the target is or may be cold and its service states the rate that a cold target can take.
func (g *Gate) bounded(t inventory.Target, now time.Time) bool {
	if g.rules.Rates[t.Service] <= 0 {
		return false
	}
	return t.Cold(now) || now.Before(g.zones[t.AvailabilityZone].coldUntil)
}

// hasAllowance reports whether anything is left of this daemon's share of the allowance of a cold target.
func (g *Gate) hasAllowance(t inventory.Target, now time.Time) bool {
	allowance := int(coldAllowanceShare * (g.rules.Rates[t.Service]*g.rules.Overshoot + g.rules.Slack))
	sharers := min(len(g.members), allowance)
	if sharers == 0 || !slices.Contains(rendezvous.PickN(t.ID, g.members, sharers), g.name) {
		return false
	}
	return len(g.recentSends(t.ID, now)) < allowance/sharers
}

func (g *Gate) recentSends(target string, now time.Time) []time.Time {
	return lo.Filter(g.sent[target], func(at time.Time, _ int) bool { return now.Sub(at) < coldWindow })
}
