package aggregator

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/partswire"
	"github.com/knapweedpoint/knapweedpoint/internal/targetselect"
)

// Times of replies. Those without a unit are shares of the objective of the search. The requesting daemon queries
// another aggregator when it has received nothing for half of the objective, so the first reply is sent much earlier,
// however many shards have a result by then.
const (
	// firstReply is the latest time of the first reply.
	firstReply = 0.25
	// grantLead is how long before the first hedge the aggregator asks for a hedge grant: two hops between zones and
	// one scheduling pause of a small VM.
	grantLead = 6 * time.Millisecond
	// replyInterval is the time between later replies.
	replyInterval = 0.125
	// cutoffMargin is how long before the cutoff of the requesting daemon the available parts are sent, and how long before
	// its deadline a call of which nothing has run is reported: one hop
	// between zones and one scheduling pause of a small VM.
	cutoffMargin = 4 * time.Millisecond
)

// ReasonLeaving is the reason given for shards that had no result when their aggregator exited.
const ReasonLeaving = "holderLeaving"

// errLeaving is the cause of the end of a call whose aggregator exits.
var errLeaving = errors.New("aggregator is leaving")

// call is one call of a requesting daemon, in progress or retained.
type call struct {
	aggregator *Aggregator
	requester  string
	message    *gossippb.PartsCall
	reply      func(*gossippb.PartsReply)
	ctx        context.Context
	// cancel ends the call without a reply, giveUp with a reply that its unfinished shards are lost.
	cancel, giveUp context.CancelFunc
	startedAt      time.Time
	// cutoff is when the available parts are sent: cutoffMargin before the requesting daemon answers if it has enough
	// parts. pastCutoff is set once a reply has been sent at or after that time.
	cutoff     time.Time
	pastCutoff bool
	// mayHaveRun is set once a target has run or may have run a shard of the call.
	mayHaveRun bool
	// nextReply is when the next reply is due.
	nextReply time.Time
	// pending holds the shards without a result, by their position in the call.
	pending map[int]bool
	// unsent holds the shards that have a result which has not been sent yet.
	unsent []forward.JobResult
	// anomalies holds the traces of the shards that were sent to more than once or have no part.
	anomalies map[string]forward.Trace

	mu sync.Mutex
	// blocks holds the results that have been sent.
	blocks []*gossippb.PartsBlock
	// granted is set once the requesting daemon has given a hedge grant; it then queries no fallback aggregator.
	granted bool
	// reportedLate is set if the latest reply named late shards.
	reportedLate bool
	// probe is the state of the grant for a single hedge.
	probe probe
}

// probe is the state of a grant for a single hedge.
type probe int

const (
	noProbe probe = iota
	mayProbe
	probed
)

func newCall(a *Aggregator, requester string, m *gossippb.PartsCall, reply func(*gossippb.PartsReply), now time.Time) *call {
	c := &call{
		aggregator: a, requester: requester, message: m, reply: reply, startedAt: now,
		cutoff:    now.Add(time.Duration(m.GetCutMillis())*time.Millisecond - cutoffMargin),
		pending:   lo.SliceToMap(lo.Range(len(m.GetShards())), func(i int) (int, bool) { return i, true }),
		anomalies: map[string]forward.Trace{},
	}
	parent, cancelParent := context.WithCancelCause(context.Background())
	c.ctx, c.cancel = context.WithDeadline(parent, c.deadline())
	c.giveUp = func() { cancelParent(errLeaving) }
	return c
}

// deadline returns when the requesting daemon stops waiting.
func (c *call) deadline() time.Time {
	return c.startedAt.Add(millis(c.message.GetLeftMillis()))
}

// run queries the targets of the shards and replies until all shards have a result or the requesting daemon stops
// waiting.
func (c *call) run() {
	defer c.cancel()
	if c.ctx.Err() != nil {
		return
	}
	defer c.followUp()
	batch := c.aggregator.Forwarder.Start(c.jobs())
	defer batch.Release()
	hedgeDelay := time.Duration(targetselect.HedgeDelayFactor * float64(c.aggregator.Forwarder.TypicalLatency(partswire.DecodeRoute(c.message))))
	c.nextReply = c.startedAt.Add(min(c.objectiveShare(firstReply), max(hedgeDelay-grantLead, 0)))
	notRunAt := c.deadline().Add(-cutoffMargin)
	for len(c.pending) > 0 {
		wake := c.wake()
		if notRunAt.Before(wake) {
			wake = notRunAt
		}
		results := batch.Next(c.ctx, wake)
		if len(results) == 0 && c.ctx.Err() != nil {
			if errors.Is(context.Cause(c.ctx), errLeaving) {
				c.markLost(batch, time.Now())
				c.log()
			} else if errors.Is(c.ctx.Err(), context.Canceled) {
				c.reportNotRun(batch)
			}
			batch.Abandon()
			return
		}
		for _, r := range results {
			c.record(r)
		}
		if !time.Now().Before(notRunAt) {
			// The requesting daemon must know before it stops waiting.
			notRunAt = c.deadline().Add(maxDuration)
			if c.reportNotRun(batch) {
				break
			}
		}
		if now := time.Now(); c.due(now) {
			c.sendReply(now)
		}
	}
	c.log()
}

// reportNotRun reports a call that is cancelled or about to end and of which nothing has run, because
// the requesting daemon may then tell its caller so. It returns false if a target may have run the call.
func (c *call) reportNotRun(batch *forward.Batch) bool {
	if c.mayHaveRun || lo.SomeBy(lo.Keys(c.pending), batch.MayHaveRun) {
		return false
	}
	batch.Stop()
	for len(c.pending) > 0 {
		results := batch.Next(c.ctx, time.Time{})
		if len(results) == 0 {
			return false
		}
		for _, r := range results {
			c.record(r)
		}
	}
	c.sendReply(time.Now())
	return true
}

// markLost reports the shards without a result as lost, because their targets may still be running them.
func (c *call) markLost(batch *forward.Batch, now time.Time) {
	for shard := range c.pending {
		c.record(forward.JobResult{Index: shard, Outcome: forward.Lost{Reason: ReasonLeaving}, Trace: batch.PendingTrace(shard, now)})
	}
	c.sendReply(now)
}

func (c *call) jobs() []forward.Job {
	deadline := c.deadline()
	route, request := partswire.DecodeRoute(c.message), partswire.DecodeRequest(c.message.GetRequest())
	return lo.Map(c.message.GetShards(), func(shard string, _ int) forward.Job {
		return forward.Job{
			Service: shard, Route: route, Request: request, Deadline: deadline, AlreadySent: c.message.GetAgain(),
			PartOfSearch: true, MayResend: c.mayResend,
		}
	})
}

func (c *call) objectiveShare(share float64) time.Duration {
	return time.Duration(share * float64(millis(c.message.GetObjectiveMillis())))
}

// wake returns when the next reply is due.
func (c *call) wake() time.Time {
	if !c.pastCutoff && c.cutoff.Before(c.nextReply) {
		return c.cutoff
	}
	return c.nextReply
}

// due reports whether a reply must be sent now. After the cutoff every part is sent at once, because it may be the
// one that the requesting daemon is waiting for.
func (c *call) due(now time.Time) bool {
	return len(c.pending) == 0 || !now.Before(c.wake()) || c.pastCutoff && len(c.unsent) > 0
}

func (c *call) record(r forward.JobResult) {
	delete(c.pending, r.Index)
	if _, notRun := r.Outcome.(forward.NotRun); !notRun {
		c.mayHaveRun = true
	}
	c.unsent = append(c.unsent, r)
	if _, done := r.Outcome.(forward.Done); !done || len(r.Trace.Sends) != 1 || r.Trace.Hedged > 0 {
		c.anomalies[c.message.GetShards()[r.Index]] = r.Trace
	}
}

// sendReply sends the results since the last reply and schedules the next one.
func (c *call) sendReply(now time.Time) {
	c.nextReply = now.Add(c.objectiveShare(replyInterval))
	c.pastCutoff = c.pastCutoff || !now.Before(c.cutoff)
	c.mu.Lock()
	defer c.mu.Unlock()
	firstUnsent := len(c.blocks)
	if len(c.unsent) > 0 {
		c.blocks = append(c.blocks, partswire.EncodeBlock(c.unsent, int(c.message.GetGreatest())))
		c.unsent = nil
	}
	c.sendBlocks(firstUnsent)
}

// sendBlocks replies with the blocks from index first on. The caller must hold mu.
func (c *call) sendBlocks(first int) {
	loads := c.loads()
	c.reportedLate = len(loads) > 0
	c.reply(&gossippb.PartsReply{
		Id: c.message.GetId(), Blocks: slices.Clone(c.blocks[first:]), First: uint32(first),
		Asks: !c.granted && c.probe == noProbe, Loads: loads,
	})
}

// resend replies with all blocks to a requesting daemon that has missed a reply.
func (c *call) resend() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sendBlocks(0)
}

// mayResend reports whether additional sends are allowed. Without a hedge grant a fallback aggregator may query
// another target, and together they would use more targets than the route allows.
func (c *call) mayResend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.granted || c.probe != mayProbe {
		return c.granted
	}
	c.probe = probed
	return true
}

func (c *call) grant(single bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if single {
		c.probe = max(c.probe, mayProbe)
		return
	}
	c.granted = true
}

// log writes a log entry if a shard was sent to more than once or has no part.
func (c *call) log() {
	if len(c.anomalies) == 0 {
		return
	}
	events.PartsEnded.Log(c.aggregator.Log, zap.String("request", c.message.GetRequest().GetId()), zap.String("peer", c.requester),
		zap.Float64("ms", float64(time.Since(c.startedAt).Microseconds())/1000), zap.Any("sends", c.anomalies))
}
