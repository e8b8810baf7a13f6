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
	// left is how many shards have not ended.
	left       int
	heap       topk.Heap
	signatures []string
	ended      map[string]part
	mayHaveRun bool
	lastReason string
	retryAfter time.Duration
}

// collect returns when all parts are in, when enough are in and the time of the cut has come, or when too few can come.
func (c *collection) collect(ctx context.Context, parts <-chan part, cut time.Time) Outcome {
	atCut := time.NewTimer(time.Until(cut))
	defer atCut.Stop()
	late := false
	for c.left > 0 {
		select {
		case p := <-parts:
			c.take(p)
		case <-atCut.C:
			late = true
		case <-ctx.Done():
			return Failed{Reason: forward.ReasonCaller}
		}
		if len(c.signatures)+c.left < c.need {
			return c.fail()
		}
		if late && len(c.signatures) >= c.need {
			return c.merge()
		}
	}
	return c.merge()
}

func (c *collection) take(p part) {
	c.left--
	if c.ended == nil {
		c.ended = map[string]part{}
	}
	c.ended[p.shard] = p
	switch o := p.outcome.(type) {
	case forward.Done:
		c.mayHaveRun = true
		if !o.Answer.Good() {
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

// fail ends a search that cannot reach its share; shards that have not ended may still run it.
func (c *collection) fail() Outcome {
	if c.mayHaveRun || c.left > 0 {
		return Failed{Reason: c.lastReason, Timeout: !time.Now().Before(c.search.Until)}
	}
	return NotRun{Reason: c.lastReason, RetryAfter: c.retryAfter}
}

// trace returns what is worth a log line.
func (c *collection) trace(shards []string) Trace {
	t := Trace{Odd: map[string]forward.Trace{}, Missing: map[string]string{}}
	for _, s := range shards {
		p, ok := c.ended[s]
		if !ok {
			t.Missing[s] = "notYet"
			continue
		}
		t.Hedged += p.trace.Hedged
		if o, done := p.outcome.(forward.Done); !done || !o.Answer.Good() {
			t.Missing[s] = p.outcome.Word()
		}
		if len(p.trace.Sends) != 1 || p.trace.Hedged > 0 {
			t.Odd[s] = p.trace
		}
	}
	return t
}
