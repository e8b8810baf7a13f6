package scatter

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/shardplan"
)

// ReasonExpectedLate is the reason given for shards that were left out because they would answer late.
const ReasonExpectedLate = "expectedLate"

// ReasonDeadline is the reason of searches that are refused because too few shards are expected to answer before the deadline.
const ReasonDeadline = "expectedAfterDeadline"

// minRetryAfter is the shortest retry delay of such a search: a queue at targets is shortened by one call in that time.
const minRetryAfter = 20 * time.Millisecond

func enabled(option func() bool) bool { return option != nil && option() }

// expect returns the expected latency of each shard of a search, 0 for those that are unknown or can't be queried. It returns
// none if nothing depends on them.
func (g *Gatherer) expect(s Search, unavailable map[int]bool) []time.Duration {
	if !enabled(g.OmitsLateShards) && !enabled(g.RefusesLate) {
		return nil
	}
	return lo.Map(s.Scatter.Shards, func(shard string, i int) time.Duration {
		if unavailable[i] {
			return 0
		}
		latency, known := g.Runner.ExpectedLatency(s, shard)
		return lo.Ternary(known, latency, 0)
	})
}

// judge returns the verdict on a search, and how long its callers should wait if it is refused: until enough shards are
// expected to answer in time.
func (g *Gatherer) judge(s Search, expected []time.Duration, allowed int) (shardplan.Verdict, time.Duration) {
	if !enabled(g.RefusesLate) {
		return shardplan.Run, 0
	}
	left := time.Until(s.Deadline)
	verdict := g.Planner.Judge(expected, left, len(expected)-allowed)
	if verdict != shardplan.Refuse {
		return verdict, 0
	}
	if g.Scope != nil {
		g.Scope.Counter("refusedAtOnce").Inc(1)
	}
	sorted := slices.Sorted(slices.Values(expected))
	return verdict, max(sorted[len(sorted)-allowed-1]-left, minRetryAfter)
}

// countSample counts a search that was answered although it was expected to be late: others like it are refused needlessly.
func (g *Gatherer) countSample(verdict shardplan.Verdict, out Outcome) {
	if _, answered := out.(Merged); answered && verdict == shardplan.Sample && g.Scope != nil {
		g.Scope.Counter("needlessRefusals").Inc(1)
	}
}

// omit returns the positions of the shards that a search leaves out because they would answer after its cutoff.
func (g *Gatherer) omit(s Search, expected []time.Duration, allowed int) []int {
	if !enabled(g.OmitsLateShards) {
		return nil
	}
	omitted := g.Planner.Omit(expected, time.Until(s.Cutoff), allowed)
	if g.Scope != nil && len(omitted) > 0 {
		g.Scope.Counter("omittedShards").Inc(int64(len(omitted)))
	}
	return omitted
}
