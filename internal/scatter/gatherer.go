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

// retryWhenDark is told to callers when too many shards have no target: one is published again within a second.
const retryWhenDark = 500 * time.Millisecond

// Runner answers the jobs of all shards.
type Runner interface {
	// Start sends each job to its first target.
	Start(jobs []forward.Job) *forward.Batch
	// Reachable reports whether any target of the service may receive work now.
	Reachable(service string) bool
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
	batch := g.Runner.Start(jobs)
	defer batch.Release()
	c := &collection{
		search: s, need: need, left: len(shards), heap: topk.Heap{Limit: s.Scatter.Greatest},
		ended: make([]forward.Ended, len(shards)),
	}
	cut := s.Begun.Add(s.Route.Objective - g.Margin - g.lag.Estimate())
	out := c.collect(ctx, batch, cut)
	if c.cutAt.After(cut) {
		g.lag.Add(c.cutAt.Sub(cut))
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
