package permission

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/rendezvous"
)

const (
	// coldHolders is how many daemons may send to one cold target; a few, so that two views of the members
	// that differ stay below the allowance together.
	coldHolders = 3
	// coldSpacing is the time between two sends of one holder to one cold target: less than one a second each.
	coldSpacing = 1100 * time.Millisecond
)

// Gate says which targets may receive work; its zero value lets no cold target receive any.
type Gate struct {
	mu      sync.Mutex
	name    string
	members []string
	zones   map[string]zone
	// sent is when this daemon last sent to a cold target.
	sent map[string]time.Time
}

// zone is the state of one availability zone: taken out, or back and taken for cold until a time.
type zone struct {
	out       bool
	coldUntil time.Time
}

// SetMembers replaces the daemon's name and the names of all live daemons.
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
		if z.out && !lo.Contains(out, name) {
			g.zones[name] = zone{coldUntil: coldUntil}
		}
	}
	for _, name := range out {
		g.zones[name] = zone{out: true}
	}
}

// Allowed returns the targets that may receive work now: warm ones, or where there are none
// the cold ones whose allowance this daemon holds.
func (g *Gate) Allowed(targets []inventory.Target, now time.Time) []inventory.Target {
	g.mu.Lock()
	defer g.mu.Unlock()
	if lo.EveryBy(targets, func(t inventory.Target) bool { return g.warm(t, now) }) {
		return targets
	}
	open := lo.Filter(targets, func(t inventory.Target, _ int) bool { return !t.Draining && !g.zones[t.AvailabilityZone].out })
	warm, cold := lo.FilterReject(open, func(t inventory.Target, _ int) bool { return !g.cold(t, now) })
	if len(warm) > 0 {
		return warm
	}
	return lo.Filter(cold, func(t inventory.Target, _ int) bool { return g.mayWarm(t.ID, now) })
}

// Enter asks once more, at the moment of the send, and takes the allowance of a cold target.
func (g *Gate) Enter(t inventory.Target, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.Draining || g.zones[t.AvailabilityZone].out {
		return false
	}
	if !g.cold(t, now) {
		return true
	}
	if !g.mayWarm(t.ID, now) {
		return false
	}
	if g.sent == nil {
		g.sent = map[string]time.Time{}
	}
	g.sent[t.ID] = now
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

// warm reports whether nothing speaks against a target.
func (g *Gate) warm(t inventory.Target, now time.Time) bool {
	return !t.Draining && !g.zones[t.AvailabilityZone].out && !g.cold(t, now)
}

func (g *Gate) cold(t inventory.Target, now time.Time) bool {
	return t.Cold(now) || now.Before(g.zones[t.AvailabilityZone].coldUntil)
}

// mayWarm reports whether this daemon holds a part of the target's allowance and has not just used it.
func (g *Gate) mayWarm(target string, now time.Time) bool {
	if last, ok := g.sent[target]; ok && now.Sub(last) < coldSpacing {
		return false
	}
	return lo.Contains(rendezvous.Names(target, g.members, coldHolders), g.name)
}
