package scatter

import (
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/forward"
)

// ReasonExpectedLate is the reason given for shards that were left out because they would answer late.
const ReasonExpectedLate = "expectedLate"

// omission says which shards of a search may be left out.
type omission struct {
	// unavailable holds the positions of the shards that can't be queried.
	unavailable map[int]bool
	// allowed is the number of other shards that may be missing.
	allowed int
}

// omit returns the positions of the shards that a search leaves out because they would answer after its cutoff.
func (g *Gatherer) omit(s Search, jobs []forward.Job, o omission) []int {
	if g.OmitsLateShards == nil || !g.OmitsLateShards() || o.allowed <= 0 {
		return nil
	}
	expected := lo.Map(jobs, func(j forward.Job, i int) time.Duration {
		if o.unavailable[i] {
			return 0
		}
		latency, known := g.Runner.ExpectedLatency(s, j.Service)
		return lo.Ternary(known, latency, 0)
	})
	omitted := g.Planner.Omit(expected, time.Until(s.Cutoff), o.allowed)
	if g.Scope != nil && len(omitted) > 0 {
		g.Scope.Counter("omittedShards").Inc(int64(len(omitted)))
	}
	return omitted
}
