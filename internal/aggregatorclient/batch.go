package aggregatorclient

import (
	"context"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/assignment"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/partswire"
	"github.com/knapweedpoint/knapweedpoint/internal/scatter"
)

const (
	// resendAfter is the share of the objective after which a call without a reply is sent again, in case the call or
	// its reply was lost. The first reply is due after a quarter of the objective.
	resendAfter = 0.375
	// failoverAfter is the share of the objective after which a fallback aggregator is queried in place of one that
	// has not replied.
	failoverAfter = 0.5
	// probeAfter is the share of the objective after which one hedge is granted although no target has answered the search.
	probeAfter = 0.5
	// grantedTimeout is the share of the objective after which the shards of an unresponsive aggregator that holds a
	// hedge grant are given up.
	grantedTimeout = 1
	// probeTimeout is the share of the objective that a loopback probe may take. Datagrams from a VM to itself are
	// hardly ever lost.
	probeTimeout = 0.25
	// maxRefusals is how many aggregators may refuse a call before the last one, after which this daemon queries the
	// targets itself.
	maxRefusals = assignment.AggregatorsPerBucket - 1
)

// ReasonUnresponsive is the reason given for shards whose aggregators did not reply or refused the call.
const ReasonUnresponsive = "holderSilent"

// batch is one search in progress.
type batch struct {
	client   *Client
	plan     plan
	search   scatter.Search
	jobs     []forward.Job
	request  *gossippb.Request
	replies  chan receivedReply
	timer    *time.Timer
	groups   []*shardGroup
	finished []forward.JobResult
	// answered is set once a target has answered the search. Until then hedge grants wait, because the search may crash the
	// targets that run it. From probeAt on, one aggregator gets a grant for a single hedge; probed is set once it has.
	answered, probed bool
	probeAt          time.Time
	// stopped is set once no more calls are sent.
	stopped bool
}

// shardGroup is the set of shards of a search that one aggregator is queried for.
type shardGroup struct {
	aggregator string
	// id identifies the call. attempts is the number of targets that may be queried for one shard.
	id       uint64
	attempts int
	// copies counts how often the call was sent. Only the first copy can begin to run.
	copies int
	// addressed is the incarnation of the aggregator to which the first copy was sent, as far as it was known; 0 if it was not.
	addressed uint64
	// runner is the incarnation of the process that runs the call, or 0 before its first reply.
	runner uint64
	// indexes maps the position of a shard in the call to its position in the search.
	indexes []int
	// pending holds the shards without a result, by their position in the call.
	pending map[int]bool
	// asked is set once the aggregator has asked for a hedge grant.
	asked bool
	// granted is set once the aggregator has received a hedge grant. No fallback is queried after that. probing is set while the
	// grant is one for a single hedge.
	granted, probing bool
	// blocksReceived counts the reply blocks that have been processed.
	blocksReceived int
	// lastReply is when the latest reply arrived, or when the call was first sent. lastSent is when the call was last
	// sent.
	lastReply time.Time
	lastSent  time.Time
	// refusals counts the aggregators that refused the call.
	refusals int
	// notRun is set once it is proved that no process runs the call.
	notRun bool
	// fallback is set when an unresponsive aggregator was queried for the shards before.
	fallback bool
	// probeSentAt is when a loopback probe was sent to find out whether this daemon has read all replies; zero when
	// no probe is in flight.
	probeSentAt time.Time
}

func newBatch(c *Client, s scatter.Search, jobs []forward.Job, p plan) *batch {
	b := &batch{
		client: c, plan: p, search: s, jobs: jobs, request: partswire.EncodeRequest(s.Request),
		replies: make(chan receivedReply, maxReplies), timer: time.NewTimer(time.Hour),
	}
	b.probeAt = time.Now().Add(b.objectiveShare(probeAfter))
	return b
}

// start queries an aggregator for the shards at the given indexes.
func (b *batch) start(aggregator string, indexes []int, now time.Time) {
	b.call(&shardGroup{aggregator: aggregator, indexes: indexes}, b.search.Route.Attempts, now)
}

func (b *batch) call(g *shardGroup, attempts int, now time.Time) {
	g.id = b.client.register(b, b.shards(g))
	g.attempts = attempts
	g.pending = lo.SliceToMap(lo.Range(len(g.indexes)), func(i int) (int, bool) { return i, true })
	g.lastReply = now
	b.groups = append(b.groups, g)
	b.send(g, now)
}

// send sends the call of a group to its aggregator, for the first time or again.
func (b *batch) send(g *shardGroup, now time.Time) {
	g.lastSent = now
	g.copies++
	if g.copies == 1 {
		g.addressed = b.client.Peers.Process(g.aggregator)
		b.client.call(g.aggregator, b.encodeCall(g, now))
		return
	}
	b.client.call(g.aggregator, &gossippb.PartsCall{
		Id: g.id, Resent: &gossippb.PartsResend{Incarnation: g.addressed, Call: b.encodeCall(g, now)},
	})
}

// Begin queries aggregators for deferred shards.
func (b *batch) Begin(indexes []int) {
	for _, i := range indexes {
		b.jobs[i].Deferred = false
	}
	now := time.Now()
	begun := lo.Map(b.jobs, func(j forward.Job, i int) forward.Job {
		j.Deferred = !lo.Contains(indexes, i)
		return j
	})
	for aggregator, group := range b.client.groupByAggregator(b.plan, begun, now) {
		b.start(aggregator, group, now)
	}
}

func (b *batch) shards(g *shardGroup) []string {
	return lo.Map(g.indexes, func(index, _ int) string { return b.jobs[index].Service })
}

func (b *batch) encodeCall(g *shardGroup, now time.Time) *gossippb.PartsCall {
	route := b.search.Route
	return &gossippb.PartsCall{
		Id:              g.id,
		Shards:          b.shards(g),
		Host:            route.Host,
		Prefix:          route.Prefix,
		Attempts:        uint32(g.attempts),
		ObjectiveMillis: uint32(route.Objective.Milliseconds()),
		Greatest:        uint32(b.search.Scatter.TopK),
		CutMillis:       int32(b.search.Cutoff.Sub(now).Milliseconds()),
		LeftMillis:      uint32(max(b.search.Deadline.Sub(now).Milliseconds(), 1)),
		Again:           g.fallback,
		Priority:        partswire.EncodePriority(route.Priority),
		Request:         b.request,
	}
}

// Next returns the next shards that have a result. It returns none when wake passes, unless wake is zero, or when ctx
// is done before that.
func (b *batch) Next(ctx context.Context, wake time.Time) []forward.JobResult {
	for {
		if len(b.finished) > 0 {
			results := b.finished
			b.finished = nil
			return results
		}
		b.timer.Reset(time.Until(b.due(wake)))
		select {
		case r := <-b.replies:
			b.handleReply(r, time.Now())
		case now := <-b.timer.C:
			if b.drainReplies(now) {
				continue
			}
			if !wake.IsZero() && !now.Before(wake) {
				return nil
			}
			b.tick(now)
		case <-ctx.Done():
			return nil
		}
	}
}

// drainReplies processes the replies that are queued and reports whether there were any. An aggregator whose reply is
// still queued does not count as unresponsive.
func (b *batch) drainReplies(now time.Time) bool {
	for drained := false; ; drained = true {
		select {
		case r := <-b.replies:
			b.handleReply(r, now)
		default:
			return drained
		}
	}
}

func (b *batch) objectiveShare(share float64) time.Duration {
	return time.Duration(share * float64(b.search.Route.Objective))
}

// due returns when the batch has to act next.
func (b *batch) due(wake time.Time) time.Time {
	next := b.search.Deadline
	if !wake.IsZero() && wake.Before(next) {
		next = wake
	}
	if b.stopped {
		return next
	}
	asked := func(g *shardGroup) bool { return g.asked && len(g.pending) > 0 }
	if !b.answered && !b.probed && lo.SomeBy(b.groups, asked) && b.probeAt.Before(next) {
		next = b.probeAt
	}
	for _, g := range b.groups {
		if at := b.groupDue(g); len(g.pending) > 0 && at.Before(next) {
			next = at
		}
	}
	return next
}

// groupDue returns when the batch has to act on a missing reply to a group.
func (b *batch) groupDue(g *shardGroup) time.Time {
	if !g.probeSentAt.IsZero() {
		return g.probeSentAt.Add(b.objectiveShare(probeTimeout))
	}
	if g.lastSent.After(g.lastReply) {
		return g.lastReply.Add(b.timeout(g))
	}
	return g.lastReply.Add(b.objectiveShare(resendAfter))
}

// timeout returns how long an aggregator may go without a reply.
func (b *batch) timeout(g *shardGroup) time.Duration {
	if g.granted {
		return b.objectiveShare(grantedTimeout)
	}
	return b.objectiveShare(failoverAfter)
}

func (b *batch) tick(now time.Time) {
	if !now.Before(b.search.Deadline) {
		b.timeOutAll()
		return
	}
	if b.stopped {
		return
	}
	b.grantHedges(nil, false, now)
	for _, g := range b.groups {
		switch {
		case len(g.pending) == 0 || now.Before(b.groupDue(g)):
		case now.Before(g.lastReply.Add(b.timeout(g))):
			b.send(g, now)
		case g.probeSentAt.IsZero():
			// On a VM whose process is scheduled late, a reply may have arrived that has not been read yet.
			g.probeSentAt = now
			b.client.Peers.SendLoopback(&gossippb.PartsReply{Id: g.id, Echo: true})
		default:
			b.failOver(g, now)
		}
	}
}

// failOver queries a fallback aggregator for the shards that an unresponsive one has not answered. An aggregator with
// a hedge grant may have used all attempts, so its shards are marked as lost.
func (b *batch) failOver(g *shardGroup, now time.Time) {
	b.client.deprioritize(g.aggregator, now)
	b.close(g)
	pending := b.pendingIndexes(g)
	g.pending = nil
	next, ok := b.client.fallbackFor(b.plan, pending[0], b.jobs[pending[0]].Service, g.aggregator, now)
	events.HolderSilent.Log(b.client.Log, zap.String("request", b.search.Request.ID), zap.String("peer", g.aggregator),
		zap.String("next", next), zap.Int("shards", len(pending)), zap.Bool("again", g.fallback), zap.Bool("granted", g.granted))
	// The unresponsive aggregator may have queried one target for each of these shards.
	attempts := b.search.Route.Attempts - 1
	if !ok || g.fallback || g.granted || attempts < 1 || b.stopped {
		b.markLost(g.aggregator, pending)
		return
	}
	b.call(&shardGroup{aggregator: next, indexes: pending, fallback: true}, attempts, now)
}

// pendingIndexes returns the positions in the search of the shards of a group that have no result.
func (b *batch) pendingIndexes(g *shardGroup) []int {
	return lo.Filter(g.indexes, func(_, i int) bool { return g.pending[i] })
}

func (b *batch) markLost(aggregator string, indexes []int) {
	for _, index := range indexes {
		b.finished = append(b.finished, forward.JobResult{
			Index: index, Outcome: forward.Lost{Reason: ReasonUnresponsive},
			Trace: forward.Trace{Sends: []forward.SendTrace{{Target: aggregator, Result: ReasonUnresponsive}}},
		})
	}
}

func (b *batch) timeOutAll() {
	for _, g := range b.groups {
		for i := range g.pending {
			b.finished = append(b.finished, forward.JobResult{Index: g.indexes[i], Outcome: forward.Lost{Reason: forward.ReasonTimeout, Timeout: true}})
		}
		b.close(g)
		g.pending = nil
	}
}

// handleReply processes the blocks of a reply that earlier replies did not contain.
func (b *batch) handleReply(r receivedReply, now time.Time) {
	g, ok := lo.Find(b.groups, func(g *shardGroup) bool { return g.id == r.GetId() })
	if !ok || len(g.pending) == 0 {
		return
	}
	if r.GetEcho() {
		if !g.probeSentAt.IsZero() {
			b.failOver(g, now)
		}
		return
	}
	if r.GetRefused() {
		b.handleRefusal(g, r.process, now)
		return
	}
	if g.runner != 0 && r.process != g.runner {
		// The runner has ended. An aggregator of an earlier version runs a copy of the call that its next process receives.
		b.failOver(g, now)
		return
	}
	g.runner = r.process
	g.lastReply, g.probeSentAt = now, time.Time{}
	if int(r.GetFirst()) > g.blocksReceived {
		// A reply before this one was lost; the call is sent again to have its blocks repeated.
		b.send(g, now)
		return
	}
	for _, block := range r.GetBlocks()[min(g.blocksReceived-int(r.GetFirst()), len(r.GetBlocks())):] {
		b.finished = append(b.finished, b.decode(g, block)...)
		g.blocksReceived++
	}
	g.asked = g.asked || r.GetAsks()
	if len(g.pending) == 0 {
		b.client.unregister(g.id)
	}
	b.grantHedges(g, r.GetAsks(), now)
}

// grantHedges gives hedge grants to the aggregators that have asked for one, once a target has answered the search. A group
// that asks again has not received its grant. Before the first answer, one group gets a grant for a single hedge.
func (b *batch) grantHedges(replied *shardGroup, again bool, now time.Time) {
	for _, g := range b.groups {
		switch {
		case len(g.pending) == 0 || !g.asked:
		case b.answered:
			if !g.granted || g.probing || again && g == replied {
				g.granted, g.probing = true, false
				b.client.grant(g.aggregator, &gossippb.PartsGrant{Id: g.id})
			}
		case !b.probed && !now.Before(b.probeAt):
			b.probed, g.granted, g.probing = true, true, true
			b.client.grant(g.aggregator, &gossippb.PartsGrant{Id: g.id, Probe: true})
		}
	}
}

func (b *batch) decode(g *shardGroup, block *gossippb.PartsBlock) []forward.JobResult {
	shards := append(
		lo.Map(block.GetParts(), func(p *gossippb.Part, _ int) int { return int(p.GetShard()) }),
		lo.Map(block.GetMissing(), func(m *gossippb.MissingPart, _ int) int { return int(m.GetShard()) })...,
	)
	if !lo.EveryBy(shards, func(shard int) bool { return g.pending[shard] }) || len(lo.Uniq(shards)) < len(shards) {
		// The records of a block are merged from all its parts, so one invalid part makes the whole block unusable.
		events.DatagramOdd.Log(b.client.Log, zap.String("peer", g.aggregator), zap.String("request", b.search.Request.ID))
		return nil
	}
	for _, shard := range shards {
		delete(g.pending, shard)
	}
	b.answered = b.answered || len(block.GetParts()) > 0
	return partswire.DecodeBlock(block, g.aggregator, func(shard int) int { return g.indexes[shard] })
}

// close removes the call of a group and cancels it if shards are still pending.
func (b *batch) close(g *shardGroup) {
	b.client.unregister(g.id)
	if len(g.pending) > 0 {
		b.client.cancel(g.aggregator, g.id)
	}
}

// MayHaveRun reports whether a target may run or have run a shard without a result. Only its aggregator knows.
func (b *batch) MayHaveRun(index int) bool {
	return lo.SomeBy(b.groups, func(g *shardGroup) bool { return g.pending[lo.IndexOf(g.indexes, index)] })
}

// Stop cancels the calls in progress. Their aggregators report the shards that have not been sent, unless the call has run.
func (b *batch) Stop() {
	b.stopped = true
	for _, g := range b.groups {
		if len(g.pending) > 0 {
			b.client.cancel(g.aggregator, g.id)
		}
	}
}

// PendingTrace returns the trace of a shard that has no result yet.
func (b *batch) PendingTrace(index int, now time.Time) forward.Trace {
	for _, g := range b.groups {
		if i := lo.IndexOf(g.indexes, index); i >= 0 && g.pending[i] {
			return forward.Trace{Sends: []forward.SendTrace{{
				Target: g.aggregator, Result: "underWay", Millis: float64(now.Sub(g.lastSent).Microseconds()) / 1000,
			}}}
		}
	}
	return forward.Trace{}
}

// Abandon cancels all calls in flight.
func (b *batch) Abandon() {
	for _, g := range b.groups {
		b.close(g)
		g.pending = nil
	}
}

// Release stops the timer of the batch and cancels its calls.
func (b *batch) Release() {
	b.timer.Stop()
	b.Abandon()
}
