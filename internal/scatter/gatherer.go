package scatter

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
	"github.com/uber-go/tally/v4"

	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
	"github.com/knapweedpoint/knapweedpoint/internal/shardplan"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
	"github.com/knapweedpoint/knapweedpoint/internal/timerlag"
	"github.com/knapweedpoint/knapweedpoint/internal/topk"
)

// maxEarlyDivisor bounds how long before the objective the cutoff of a search may be: a third of the objective. The
// parts themselves take about an eighth of it.
const maxEarlyDivisor = 3

// retryAfterNoTargets is the retry delay for callers when too many shards have no target; a target is published
// again within a second.
const retryAfterNoTargets = 500 * time.Millisecond

// retryAfterSuspicion is the retry delay for callers whose request may crash its targets, while no shard has a target to spare.
const retryAfterSuspicion = time.Second

// Runner runs the jobs of a search.
type Runner interface {
	// Start begins a search with one job for each shard, without the deferred ones.
	Start(s Search, jobs []forward.Job) Batch
	// Reachable reports whether any target of the service may receive work now.
	Reachable(service string) bool
	// Live returns the number of targets of the service that may receive work now, without those in except.
	Live(service string, except []string) int
	// HoldWait returns how long it takes until the first of a service's targets that have asked for a hold may receive
	// work; false when there is none.
	HoldWait(service string) (time.Duration, bool)
	// ExpectedLatency returns the expected latency of a new call for a shard of a search; false if it is unknown.
	ExpectedLatency(s Search, shard string) (time.Duration, bool)
}

// Batch is the set of jobs of one search in progress. forward.Batch implements it.
type Batch interface {
	// Next returns the next jobs that have a result. Their parts must be used together: the first one may carry the
	// records of all. Next returns none when wake passes, unless wake is zero, or when ctx is done before that.
	Next(ctx context.Context, wake time.Time) []forward.JobResult
	// Begin starts deferred jobs.
	Begin(indexes []int)
	// MayHaveRun reports whether a target may run or have run a job without a result.
	MayHaveRun(index int) bool
	// Stop prevents further sends, so that the jobs end with the results of the sends in flight.
	Stop()
	// PendingTrace returns the trace of a job without a result.
	PendingTrace(index int, now time.Time) forward.Trace
	// Abandon cancels the sends in flight.
	Abandon()
	// Release frees the resources of the batch.
	Release()
}

// Gatherer runs searches over many shards.
type Gatherer struct {
	Runner Runner
	// Margin is the answer margin: the time an answer needs to reach the caller. The cutoff of a search comes before
	// its objective by the sum of Margin and the lag of this daemon.
	Margin time.Duration
	// Refuses reports whether a request is not sent to a shard because it crashes the shard's targets, and for how long. It
	// is optional; without it no request is refused.
	Refuses func(r targetcall.Request, shard string) (time.Duration, bool)

	// UnansweredLosses returns the targets that were lost while they ran a request that no target has answered. Such a request is
	// sent to one shard first. It is optional; without it each request is sent to all shards at once.
	UnansweredLosses func(r targetcall.Request) []string

	// OmitsLateShards reports whether searches leave out the shards that would answer late. It is optional; without it
	// they leave out none.
	OmitsLateShards func() bool
	// RefusesLate reports whether searches are refused at once if too few shards are expected to answer before the deadline. It is
	// optional; without it none is.
	RefusesLate func() bool
	// Planner chooses those shards.
	Planner shardplan.Planner
	// Scope is optional.
	Scope tally.Scope

	// lag tracks how much later than planned this daemon acts.
	lag timerlag.Tracker
}

// Search is one search. Route and Scatter come from the same version of the route table.
type Search struct {
	Route   routetable.Route
	Scatter routetable.Scatter
	Request targetcall.Request
	// ReceivedAt is when the request arrived.
	ReceivedAt time.Time
	// Deadline is when the caller stops waiting or the timeout of the route expires.
	Deadline time.Time
	// Revoked is Job.Revoked of the shards' jobs. It is optional.
	Revoked func() bool
	// Cutoff is when an answer with enough parts is sent; Run sets it.
	Cutoff time.Time
}

// Run runs a search. It answers with all parts, with enough of them when the objective would otherwise be missed, or
// with a failure as soon as too few parts can still arrive.
func (g *Gatherer) Run(ctx context.Context, s Search) (Outcome, Trace) {
	shards := s.Scatter.Shards
	need := RequiredShards(len(shards), s.Scatter.MinCoverage)
	out := NotRun{Reason: forward.ReasonNoTarget}
	unavailable := map[int]bool{}
	waits := lo.FilterMap(shards, func(shard string, i int) (time.Duration, bool) {
		wait, reason := g.unavailable(s.Request, shard)
		unavailable[i] = reason != ""
		out.Reason = lo.Ternary(reason == "" || reason == forward.ReasonNoTarget, out.Reason, reason)
		return wait, reason != ""
	})
	if lacking := need - (len(shards) - len(waits)); lacking > 0 {
		slices.Sort(waits)
		out.RetryAfter = waits[lacking-1]
		return out, Trace{}
	}
	jobs := lo.Map(shards, func(shard string, _ int) forward.Job {
		return forward.Job{Service: shard, Route: s.Route, Request: s.Request, Deadline: s.Deadline, PartOfSearch: true, Revoked: s.Revoked}
	})
	s.Cutoff = s.ReceivedAt.Add(s.Route.Objective - min(g.Margin+g.lag.Estimate(), s.Route.Objective/maxEarlyDivisor))
	expected, allowed := g.expect(s, unavailable), len(shards)-need-len(waits)
	verdict, wait := g.judge(s, expected, allowed)
	if verdict == shardplan.Refuse {
		return NotRun{Reason: ReasonDeadline, RetryAfter: wait}, Trace{}
	}
	batch, omitted, ok := g.start(s, jobs, expected, allowed)
	if !ok {
		return NotRun{Reason: forward.ReasonCrashesTargets, RetryAfter: retryAfterSuspicion}, Trace{}
	}
	defer batch.Release()
	c := &collection{
		search: s, need: need, unfinished: len(shards) - len(omitted), heap: topk.Heap{Limit: s.Scatter.TopK},
		results: make([]forward.JobResult, len(shards)), omitted: omitted,
	}
	collected := c.collect(ctx, batch)
	if c.cutoffAt.After(s.Cutoff) {
		g.lag.Observe(c.cutoffAt.Sub(s.Cutoff))
	}
	g.countSample(verdict, collected)
	trace := c.trace(shards, batch)
	if c.unfinished > 0 {
		batch.Abandon()
	}
	return collected, trace
}

// start begins a search: with one shard if the request may crash its targets. It returns the positions of the shards that
// are left out, and false if no shard has a target to spare for a search that may crash targets.
func (g *Gatherer) start(s Search, jobs []forward.Job, expected []time.Duration, allowed int) (Batch, []int, bool) {
	var lost []string
	if g.UnansweredLosses != nil {
		lost = g.UnansweredLosses(s.Request)
	}
	if len(lost) == 0 {
		omitted := g.omit(s, expected, allowed)
		for _, i := range omitted {
			jobs[i].Deferred = true
		}
		return g.Runner.Start(s, jobs), omitted, true
	}
	spare := lo.Filter(lo.Range(len(jobs)), func(i, _ int) bool { return g.Runner.Live(jobs[i].Service, lost) > 1 })
	if len(spare) == 0 {
		return nil, nil, false
	}
	return newTrial(g.Runner, s, jobs, lo.Sample(spare)), nil, true
}

// unavailable returns why a shard can't be queried and for how long; the reason is empty if it can.
func (g *Gatherer) unavailable(r targetcall.Request, shard string) (time.Duration, string) {
	if g.Refuses != nil {
		if wait, refused := g.Refuses(r, shard); refused {
			return wait, forward.ReasonCrashesTargets
		}
	}
	if g.Runner.Reachable(shard) {
		return 0, ""
	}
	if wait, holding := g.Runner.HoldWait(shard); holding {
		return wait, forward.ReasonTargetsHoldOff
	}
	return retryAfterNoTargets, forward.ReasonNoTarget
}

// RequiredShards returns how many of n shards make up at least the given share.
func RequiredShards(n int, share float64) int {
	// Without this term a rounding error would make 0.9 of 20 come out as 19.
	const rounding = 1e-9
	return max(int(math.Ceil(float64(n)*share-rounding)), 1)
}
