package scatter

import (
	"context"
	"math"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/lag"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
	"github.com/knapweedpoint/knapweedpoint/internal/topk"
)

// mostEarly bounds how much of its objective a search may be answered early: a third; parts take an eighth of it.
const mostEarly = 3

// retryWhenDark is told to callers when too many shards have no target: one is published again within a second.
const retryWhenDark = 500 * time.Millisecond

// Runner answers the jobs of all shards.
type Runner interface {
	// Start begins a search: one job a shard.
	Start(s Search, jobs []forward.Job) Batch
	// Reachable reports whether any target of the service may receive work now.
	Reachable(service string) bool
}

// Batch is the jobs of one search under way; a forward.Batch is one.
type Batch interface {
	// Next returns the jobs that end next, whose parts belong together; none when wake passes, unless it is zero,
	// or ctx ends before that.
	Next(ctx context.Context, wake time.Time) []forward.Ended
	// Pending returns the trace of a job that has not ended.
	Pending(index int, now time.Time) forward.Trace
	// Abandon cancels what is under way.
	Abandon()
	// Release ends the batch.
	Release()
}

// Gatherer answers searches over many shards.
type Gatherer struct {
	Runner Runner
	// Margin is what an answer takes on its way to the caller; a search is answered that much before its objective.
	Margin time.Duration

	// lag is how much later than planned this daemon acts.
	lag lag.Tracker
}

// Search is one search, all of one version of the routes.
type Search struct {
	Route   routetable.Route
	Scatter routetable.Scatter
	Request targetcall.Request
	// Begun is when the request arrived.
	Begun time.Time
	// Until is when the caller, or the route's timeout, stops waiting.
	Until time.Time
	// Cut is when an answer with enough parts goes out; Run sets it.
	Cut time.Time
}

// Run answers a search: with all parts, with enough of them once the objective would pass, or not at all
// once too few can come.
func (g *Gatherer) Run(ctx context.Context, s Search) (Outcome, Trace) {
	shards := s.Scatter.Shards
	need := Needed(len(shards), s.Scatter.MinCoverage)
	dark := lo.Filter(shards, func(name string, _ int) bool { return !g.Runner.Reachable(name) })
	if len(shards)-len(dark) < need {
		return NotRun{Reason: forward.ReasonNoTarget, RetryAfter: retryWhenDark}, Trace{}
	}
	jobs := lo.Map(shards, func(name string, _ int) forward.Job {
		return forward.Job{Service: name, Route: s.Route, Request: s.Request, Until: s.Until}
	})
	s.Cut = s.Begun.Add(s.Route.Objective - min(g.Margin+g.lag.Estimate(), s.Route.Objective/mostEarly))
	batch := g.Runner.Start(s, jobs)
	defer batch.Release()
	c := &collection{
		search: s, need: need, left: len(shards), heap: topk.Heap{Limit: s.Scatter.Greatest},
		ended: make([]forward.Ended, len(shards)),
	}
	out := c.collect(ctx, batch)
	if c.cutAt.After(s.Cut) {
		g.lag.Add(c.cutAt.Sub(s.Cut))
	}
	trace := c.trace(shards, batch)
	if c.left > 0 {
		batch.Abandon()
	}
	return out, trace
}

// Needed returns how many of n shards make up the least share.
func Needed(n int, share float64) int {
	// The small term keeps 0.9 of 20 from becoming 19 by rounding.
	const rounding = 1e-9
	return max(int(math.Ceil(float64(n)*share-rounding)), 1)
}
