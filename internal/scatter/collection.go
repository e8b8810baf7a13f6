package scatter

import (
	"context"
	"slices"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/stoplimit"
	"github.com/knapweedpoint/knapweedpoint/internal/topk"
)

// settleTimeout bounds how long a search that has failed waits for the results of its sends in flight: a refusal takes two
// hops between zones, and as long again to and from an aggregator.
const settleTimeout = 20 * time.Millisecond

// collection gathers the parts of one search.
type collection struct {
	search Search
	need   int
	// omitted holds the positions of the shards that are left out, the latest first.
	omitted []int
	// unfinished is the number of queried shards without a result.
	unfinished int
	heap       topk.Heap
	signatures []string
	// results holds the results by the index of the shard; a shard without a result has a nil outcome.
	results    []forward.JobResult
	mayHaveRun bool
	lastReason string
	retryAfter time.Duration
	// timeUp is set when the search was ended before its deadline because the daemon is about to exit.
	timeUp bool
	// revoked is set once a job was refused because the caller's authentication was revoked. Nothing had run then, and the
	// others are refused as well.
	revoked bool
	// cutoffAt is when the collection processed the cutoff; zero when it ended before.
	cutoffAt time.Time
}

// collect returns when all shards have a result, when enough parts have arrived and the cutoff has passed, when too
// few parts can still arrive, or when ctx is done.
func (c *collection) collect(ctx context.Context, batch Batch) Outcome {
	wake := c.search.Cutoff
	for c.unfinished > 0 {
		results := batch.Next(ctx, wake)
		for _, r := range results {
			c.record(r)
		}
		switch {
		case len(results) > 0:
		case stoplimit.Reached(ctx):
			return c.endEarly(batch)
		case ctx.Err() != nil:
			return Failed{Reason: forward.ReasonCallerGone}
		default:
			wake = time.Time{}
			c.cutoffAt = time.Now()
		}
		c.beginOmitted(batch)
		if len(c.signatures)+c.unfinished < c.need && (!c.revoked || c.mayHaveRun || c.unfinished == 0) {
			c.settle(ctx, batch)
			return c.fail(batch)
		}
		if wake.IsZero() && len(c.signatures) >= c.need {
			return c.merge()
		}
	}
	return c.merge()
}

// beginOmitted queries as many omitted shards, the soonest first, as the search needs in place of others that have failed.
func (c *collection) beginOmitted(batch Batch) {
	n := min(c.need-len(c.signatures)-c.unfinished, len(c.omitted))
	if n <= 0 {
		return
	}
	rest := len(c.omitted) - n
	batch.Begin(c.omitted[rest:])
	c.omitted, c.unfinished = c.omitted[:rest], c.unfinished+n
}

// endEarly returns the outcome with the parts that have arrived.
func (c *collection) endEarly(batch Batch) Outcome {
	if len(c.signatures) >= c.need {
		return c.merge()
	}
	c.timeUp, c.lastReason = true, forward.ReasonTimeout
	return c.fail(batch)
}

func (c *collection) record(r forward.JobResult) {
	c.unfinished--
	c.results[r.Index] = r
	switch o := r.Outcome.(type) {
	case forward.Done:
		c.mayHaveRun = true
		if !o.Answer.Success() {
			c.lastReason = "targetRejected"
			return
		}
		c.heap.Add(o.Answer.Body)
		c.signatures = append(c.signatures, o.Answer.Signature)
	case forward.Failed:
		c.mayHaveRun = true
		c.lastReason = "targetFailed"
	case forward.Lost:
		c.mayHaveRun = true
		c.lastReason = o.Reason
	case forward.NotRun:
		c.lastReason = o.Reason
		c.retryAfter = max(c.retryAfter, o.RetryAfter)
		c.revoked = c.revoked || o.Reason == forward.ReasonRevoked
	}
}

func (c *collection) merge() Outcome {
	return Merged{
		Records:    c.heap.Bytes(),
		Signatures: c.signatures,
		Missing:    len(c.search.Scatter.Shards) - len(c.signatures),
	}
}

// settle waits for the results of the sends in flight if nothing of a failed search has run so far, so that the caller is
// told that it has not run.
func (c *collection) settle(ctx context.Context, batch Batch) {
	if c.mayHaveRun {
		return
	}
	batch.Stop()
	until := time.Now().Add(settleTimeout)
	if c.search.Deadline.Before(until) {
		until = c.search.Deadline
	}
	for c.unfinished > 0 && !c.mayHaveRun {
		results := batch.Next(ctx, until)
		for _, r := range results {
			c.record(r)
		}
		if len(results) == 0 {
			return
		}
	}
}

// pendingMayHaveRun reports whether a target may run a queried shard without a result.
func (c *collection) pendingMayHaveRun(batch Batch) bool {
	for i, r := range c.results {
		if r.Outcome == nil && !slices.Contains(c.omitted, i) && batch.MayHaveRun(i) {
			return true
		}
	}
	return false
}

// fail returns the outcome of a search that can no longer reach the required share. Shards without a result may still
// run it.
func (c *collection) fail(batch Batch) Outcome {
	if c.mayHaveRun || c.pendingMayHaveRun(batch) {
		return Failed{Reason: c.lastReason, Timeout: c.timeUp || !time.Now().Before(c.search.Deadline)}
	}
	return NotRun{Reason: c.lastReason, RetryAfter: c.retryAfter}
}

// trace returns the description of the search for the log.
func (c *collection) trace(shards []string, batch Batch) Trace {
	now := time.Now()
	t := Trace{Anomalies: map[string]forward.Trace{}, Missing: map[string]string{}}
	for i, s := range shards {
		r := c.results[i]
		if slices.Contains(c.omitted, i) {
			t.Missing[s] = ReasonExpectedLate
			continue
		}
		if r.Outcome == nil {
			t.Missing[s] = "notYet"
			t.Anomalies[s] = batch.PendingTrace(i, now)
			continue
		}
		t.Hedged += r.Trace.Hedged
		if o, done := r.Outcome.(forward.Done); !done || !o.Answer.Success() {
			t.Missing[s] = r.Outcome.Label()
		}
		if len(r.Trace.Sends) != 1 || r.Trace.Hedged > 0 {
			t.Anomalies[s] = r.Trace
		}
	}
	return t
}
