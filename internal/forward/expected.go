package forward

import (
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
)

// ExpectedLatency returns the expected latency of a new call of a route at the best target of a service that may receive
// work, with the wait in the call queue; false if none may.
func (f *Forwarder) ExpectedLatency(route routetable.Route, service string) (time.Duration, bool) {
	now := time.Now()
	candidates := lo.Reject(f.usable(service, now), func(t inventory.Target, _ int) bool { return f.Selector.Ejected(t, now) })
	class := Job{Route: route}.class()
	expected, ok := f.Selector.LatencyWithoutPenalties(class, candidates, now)
	if ahead := f.waiting.length(service); ok && ahead > 0 {
		slots := max(f.Selector.Room(candidates, now).Slots, 1)
		expected += f.Selector.TypicalLatency(class) * time.Duration(ahead) / time.Duration(slots)
	}
	return expected, ok
}
