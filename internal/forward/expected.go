package forward

import (
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
)

// ExpectedLatency returns the expected latency of a new call of a route at the best target of a service that may receive
// work; false if none may.
func (f *Forwarder) ExpectedLatency(route routetable.Route, service string) (time.Duration, bool) {
	now := time.Now()
	candidates := lo.Filter(f.Gate.Eligible(f.Inventory().ByService(service), now), func(t inventory.Target, _ int) bool {
		return !f.Selector.Ejected(t, now) && f.Permits.Denied(t, now) == 0
	})
	return f.Selector.LatencyWithoutPenalties(Job{Route: route}.class(), candidates, now)
}
