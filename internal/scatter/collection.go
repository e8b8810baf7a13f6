package scatter

import (
	"context"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/topk"
)

// collection gathers the parts of one search.
type collection struct {
	search Search
	need   int
	// unfinished is the number of shards without a result.
	unfinished int
	heap       topk.Heap
	signatures []string
	// results holds the results by the index of the shard; a shard without a result has a nil outcome.
	results    []forward.JobResult
	mayHaveRun bool
	lastReason string
	retryAfter time.Duration
	// cutoffAt is when the collection processed the cutoff; zero when it ended before.
	cutoffAt time.Time
}

// collect returns when all parts have arrived, when enough have arrived and the cutoff has passed, or when too few
// can still arrive.
func (c *collection) collect(ctx context.Context, batch Batch) Outcome {
	wake := c.search.Cutoff
	for c.unfinished > 0 {
		ended := batch.Next(ctx, wake)
		for _, e := range ended {
			c.record(e)
		}
		switch {
		case len(ended) > 0:
		case ctx.Err() != nil:
			return Failed{Reason: forward.ReasonCallerGone}
		default:
			wake = time.Time{}
			c.cutoffAt = time.Now()
		}
		if len(c.signatures)+c.unfinished < c.need {
			return c.fail()
		}
		if wake.IsZero() && len(c.signatures) >= c.need {
			return c.merge()
		}
	}
	return c.merge()
}

func (c *collection) record(e forward.JobResult) {
	c.unfinished--
	c.results[e.Index] = e
	switch o := e.Outcome.(type) {
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
	}
}

func (c *collection) merge() Outcome {
	return Merged{
		Records:    c.heap.Bytes(),
		Signatures: c.signatures,
		Missing:    len(c.search.Scatter.Shards) - len(c.signatures),
	}
}

// fail ends a search that can no longer reach the required share. Shards without a result may still run it.
func (c *collection) fail() Outcome {
	if c.mayHaveRun || c.unfinished > 0 {
		return Failed{Reason: c.lastReason, Timeout: !time.Now().Before(c.search.Deadline)}
	}
	return NotRun{Reason: c.lastReason, RetryAfter: c.retryAfter}
}

// trace returns what the log should say about the search.
func (c *collection) trace(shards []string, batch Batch) Trace {
	now := time.Now()
	t := Trace{Anomalies: map[string]forward.Trace{}, Missing: map[string]string{}}
	for i, s := range shards {
		e := c.results[i]
		if e.Outcome == nil {
			t.Missing[s] = "notYet"
			t.Anomalies[s] = batch.Pending(i, now)
			continue
		}
		t.Hedged += e.Trace.Hedged
		if o, done := e.Outcome.(forward.Done); !done || !o.Answer.Success() {
			t.Missing[s] = e.Outcome.Label()
		}
		if len(e.Trace.Sends) != 1 || e.Trace.Hedged > 0 {
			t.Anomalies[s] = e.Trace
		}
	}
	return t
}
