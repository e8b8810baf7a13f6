package permission

import (
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/rendezvous"
)

const (
	// coldMargin is the share of a cold target's allowance that is used; the rest covers daemons whose
	// views of the members differ.
	coldMargin = 0.8
	// coldWindow is the sliding span in which sends to a cold target are counted: the operators' second,
	// and a tenth for sends that are held up on the way.
	coldWindow = 1100 * time.Millisecond
)

// Rules say what cold targets bear. A service without a rate states no bound: its cold targets are only slower.
type Rules struct {
	// Rates are the requests per second that a cold target of a service bears.
	Rates map[string]float64
	// Overshoot times a rate, and Slack besides, are the requests a cold target may get in a second from all daemons.
	Overshoot float64
	Slack     float64
}

// Gate says which targets may receive work; its zero value guards no cold target.
type Gate struct {
	mu    sync.Mutex
	rules Rules
	name  string
	// members are the daemons that may send, also those that fell silent a short while ago.
	members []string
	zones   map[string]zone
	// sent are the latest sends of this daemon to cold targets.
	sent map[string][]time.Time
}

// zone is the state of one availability zone: taken out, or back and taken for cold until a time.
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

// SetMembers replaces the daemon's name and the names of all daemons that may send; without members
// nothing is sent to a cold target that has a bound.
func (g *Gate) SetMembers(name string, members []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.name = name
	g.members = members
}

// SetZonesOut replaces the availability zones that are taken out; one that comes back counts as cold until the given time.
func (g *Gate) SetZonesOut(out []string, coldUntil time.Time) {
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

// Allowed returns the targets that may receive work now: those that are not held back as cold, or where there
// are none the cold ones whose allowance this daemon has a part of. The result may be the slice it was given.
func (g *Gate) Allowed(targets []inventory.Target, now time.Time) []inventory.Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	if lo.EveryBy(targets, func(t inventory.Target) bool { return g.open(t) && !g.held(t, now) }) {
		return targets
	}
	open := lo.Filter(targets, func(t inventory.Target, _ int) bool { return g.open(t) })
	held, free := lo.FilterReject(open, func(t inventory.Target, _ int) bool { return g.held(t, now) })
	if len(free) > 0 {
		return free
	}
	return lo.Filter(held, func(t inventory.Target, _ int) bool { return g.mayWarm(t, now) })
}

// Enter asks once more, at the moment of the send, and takes the allowance of a cold target.
func (g *Gate) Enter(t inventory.Target, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.open(t) {
		return false
	}
	if !g.held(t, now) {
		return true
	}
	if !g.mayWarm(t, now) {
		return false
	}
	if g.sent == nil {
		g.sent = map[string][]time.Time{}
	}
	g.sent[t.ID] = append(g.recent(t.ID, now), now)
	return true
}

// Keep forgets all targets but the known ones.
func (g *Gate) Keep(known func(target string) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for id := range g.sent {
		if !known(id) {
			delete(g.sent, id)
		}
	}
}

// open reports whether neither the target is leaving nor its availability zone is taken out.
func (g *Gate) open(t inventory.Target) bool {
	return !t.Draining && !g.zones[t.AvailabilityZone].out
}

// held reports whether the target is cold, or may be, and bears a bounded rate only.
func (g *Gate) held(t inventory.Target, now time.Time) bool {
	if g.rules.Rates[t.Service] <= 0 {
		return false
	}
	return t.Cold(now) || now.Before(g.zones[t.AvailabilityZone].coldUntil)
}

// mayWarm reports whether this daemon has a part of the target's allowance left.
func (g *Gate) mayWarm(t inventory.Target, now time.Time) bool {
	allowance := int(coldMargin * (g.rules.Rates[t.Service]*g.rules.Overshoot + g.rules.Slack))
	holders := min(len(g.members), allowance)
	if holders == 0 || !slices.Contains(rendezvous.Names(t.ID, g.members, holders), g.name) {
		return false
	}
	return len(g.recent(t.ID, now)) < allowance/holders
}

func (g *Gate) recent(target string, now time.Time) []time.Time {
	return lo.Filter(g.sent[target], func(at time.Time, _ int) bool { return now.Sub(at) < coldWindow })
}
