package delegate

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
	// askAgain is how much of the objective may pass without a first reply, which leaves after a quarter of it,
	// before the call is sent again in case it or the reply was lost.
	askAgain = 0.375
	// silentAfter is how much of the objective may pass without a reply before another holder is asked.
	silentAfter = 0.5
	// lostAfter is how much of the objective may pass without a reply before the shards of a holder that was allowed
	// second sends are given up.
	lostAfter = 1
	// echoWithin is how much of the objective an echo may take; datagrams to the VM itself are hardly ever lost.
	echoWithin = 0.25
	// maxRefusals is how many holders may refuse a call before its shards are rejected.
	maxRefusals = assignment.Stands - 1
)

// ReasonSilent is the reason of shards whose holders did not reply.
const ReasonSilent = "holderSilent"

// batch is one search under way.
type batch struct {
	delegate *Delegate
	plan     plan
	search   scatter.Search
	jobs     []forward.Job
	request  *gossippb.Request
	replies  chan *gossippb.PartsReply
	timer    *time.Timer
	groups   []*group
	over     []forward.Ended
}

// group is the part of a search that one holder was asked for.
type group struct {
	holder string
	// id names the call; attempts is how many targets of a shard it may run on.
	id       uint64
	attempts int
	// places are the shards' places in the search, by their place in the call.
	places []int
	// open are the shards that have not ended, by their place in the call.
	open map[int]bool
	// granted is set once the holder was allowed second sends; no other holder is asked then.
	granted bool
	// taken counts the blocks of replies that were taken.
	taken int
	// heard is when the latest reply came, or the call was sent; asked is when it was sent last.
	heard time.Time
	asked time.Time
	// refusals counts the holders that did not take the call.
	refusals int
	// standsIn is set when another holder was asked before.
	standsIn bool
	// echoing is when this daemon began to find out whether it has read all replies, zero when it does not.
	echoing time.Time
}

func newBatch(d *Delegate, s scatter.Search, jobs []forward.Job, p plan) *batch {
	return &batch{
		delegate: d, plan: p, search: s, jobs: jobs, request: partswire.EncodeRequest(s.Request),
		replies: make(chan *gossippb.PartsReply, maxReplies), timer: time.NewTimer(time.Hour),
	}
}

// begin asks a holder for the shards at the given places.
func (b *batch) begin(holder string, places []int, now time.Time) {
	b.ask(&group{holder: holder, places: places}, b.search.Route.Attempts, now)
}

func (b *batch) ask(g *group, attempts int, now time.Time) {
	g.id = b.delegate.register(b)
	g.attempts = attempts
	g.open = lo.SliceToMap(lo.Range(len(g.places)), func(i int) (int, bool) { return i, true })
	g.heard = now
	b.groups = append(b.groups, g)
	b.send(g, now)
}

// send asks a group's holder, or asks it again.
func (b *batch) send(g *group, now time.Time) {
	g.asked = now
	route := b.search.Route
	b.delegate.call(g.holder, &gossippb.PartsCall{
		Id:              g.id,
		Shards:          lo.Map(g.places, func(place, _ int) string { return b.jobs[place].Service }),
		Host:            route.Host,
		Prefix:          route.Prefix,
		Attempts:        uint32(g.attempts),
		ObjectiveMillis: uint32(route.Objective.Milliseconds()),
		Greatest:        uint32(b.search.Scatter.Greatest),
		CutMillis:       int32(b.search.Cut.Sub(now).Milliseconds()),
		LeftMillis:      uint32(max(b.search.Until.Sub(now).Milliseconds(), 1)),
		Again:           g.standsIn,
		Request:         b.request,
	})
}

// Next returns the shards that end next; none when wake passes, unless it is zero, or ctx ends before that.
func (b *batch) Next(ctx context.Context, wake time.Time) []forward.Ended {
	for {
		if len(b.over) > 0 {
			ended := b.over
			b.over = nil
			return ended
		}
		b.timer.Reset(time.Until(b.due(wake)))
		select {
		case r := <-b.replies:
			b.take(r, time.Now())
		case now := <-b.timer.C:
			if b.drain(now) {
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

// drain takes the replies that have arrived and reports whether any did: no holder is silent whose reply waits.
func (b *batch) drain(now time.Time) bool {
	for some := false; ; some = true {
		select {
		case r := <-b.replies:
			b.take(r, now)
		default:
			return some
		}
	}
}

func (b *batch) share(x float64) time.Duration {
	return time.Duration(x * float64(b.search.Route.Objective))
}

// due returns when the batch must act next.
func (b *batch) due(wake time.Time) time.Time {
	next := b.search.Until
	if !wake.IsZero() && wake.Before(next) {
		next = wake
	}
	for _, g := range b.groups {
		if at := b.dueOf(g); len(g.open) > 0 && at.Before(next) {
			next = at
		}
	}
	return next
}

// dueOf returns when a holder's silence must be acted on.
func (b *batch) dueOf(g *group) time.Time {
	if !g.echoing.IsZero() {
		return g.echoing.Add(b.share(echoWithin))
	}
	if g.asked.After(g.heard) {
		return g.heard.Add(b.patience(g))
	}
	return g.heard.Add(b.share(askAgain))
}

// patience returns how long a holder may be silent.
func (b *batch) patience(g *group) time.Duration {
	if g.granted {
		return b.share(lostAfter)
	}
	return b.share(silentAfter)
}

func (b *batch) tick(now time.Time) {
	if !now.Before(b.search.Until) {
		b.endAll()
		return
	}
	for _, g := range b.groups {
		switch {
		case len(g.open) == 0 || now.Before(b.dueOf(g)):
		case now.Before(g.heard.Add(b.patience(g))):
			b.send(g, now)
		case g.echoing.IsZero():
			// On a VM that runs late a reply may have arrived that was not read.
			g.echoing = now
			b.delegate.Peers.Echo(&gossippb.PartsReply{Id: g.id, Echo: true})
		default:
			b.replace(g, now)
		}
	}
}

// replace asks the next holder for the shards that a silent one owes; one that was allowed second sends may have used
// all attempts.
func (b *batch) replace(g *group, now time.Time) {
	b.delegate.setApart(g.holder, now)
	b.close(g)
	open := b.openPlaces(g)
	g.open = nil
	next, ok := b.delegate.standIn(b.plan, open[0], b.jobs[open[0]].Service, g.holder, now)
	events.HolderSilent.Log(b.delegate.Log, zap.String("request", b.search.Request.ID), zap.String("peer", g.holder),
		zap.String("next", next), zap.Int("shards", len(open)), zap.Bool("again", g.standsIn), zap.Bool("granted", g.granted))
	// The silent holder may have sent each of them once.
	attempts := b.search.Route.Attempts - 1
	if !ok || g.standsIn || g.granted || attempts < 1 {
		b.lose(g.holder, open)
		return
	}
	b.ask(&group{holder: next, places: open, standsIn: true}, attempts, now)
}

// openPlaces returns the places in the search of a group's open shards.
func (b *batch) openPlaces(g *group) []int {
	return lo.Filter(g.places, func(_, i int) bool { return g.open[i] })
}

func (b *batch) lose(holder string, places []int) {
	for _, place := range places {
		b.over = append(b.over, forward.Ended{
			Index: place, Outcome: forward.Lost{Reason: ReasonSilent},
			Trace: forward.Trace{Sends: []forward.Sent{{Target: holder, Ending: ReasonSilent}}},
		})
	}
}

func (b *batch) endAll() {
	for _, g := range b.groups {
		for i := range g.open {
			b.over = append(b.over, forward.Ended{Index: g.places[i], Outcome: forward.Lost{Reason: forward.ReasonTimeout, Timeout: true}})
		}
		b.close(g)
		g.open = nil
	}
}

// take takes what a reply tells beyond those before it.
func (b *batch) take(r *gossippb.PartsReply, now time.Time) {
	g, ok := lo.Find(b.groups, func(g *group) bool { return g.id == r.GetId() })
	if !ok || len(g.open) == 0 {
		return
	}
	if r.GetEcho() {
		if !g.echoing.IsZero() {
			b.replace(g, now)
		}
		return
	}
	if r.GetRefused() {
		b.refused(g, now)
		return
	}
	g.heard, g.echoing = now, time.Time{}
	if int(r.GetFirst()) > g.taken {
		// A reply in between was lost.
		b.send(g, now)
		return
	}
	for _, block := range r.GetBlocks()[min(g.taken-int(r.GetFirst()), len(r.GetBlocks())):] {
		b.over = append(b.over, b.decode(g, block)...)
		g.taken++
	}
	switch {
	case len(g.open) == 0:
		b.delegate.forget(g.id)
	case r.GetAsks():
		g.granted = true
		b.delegate.grant(g.holder, g.id)
	}
}

func (b *batch) decode(g *group, block *gossippb.PartsBlock) []forward.Ended {
	shards := append(
		lo.Map(block.GetParts(), func(p *gossippb.Part, _ int) int { return int(p.GetShard()) }),
		lo.Map(block.GetMissing(), func(m *gossippb.MissingPart, _ int) int { return int(m.GetShard()) })...,
	)
	if !lo.EveryBy(shards, func(shard int) bool { return g.open[shard] }) || len(lo.Uniq(shards)) < len(shards) {
		// The records of the block are those of all its parts; without one of them none can be used.
		events.DatagramOdd.Log(b.delegate.Log, zap.String("peer", g.holder), zap.String("request", b.search.Request.ID))
		return nil
	}
	for _, shard := range shards {
		delete(g.open, shard)
	}
	return partswire.DecodeBlock(block, g.holder, func(shard int) int { return g.places[shard] })
}

// refused asks the next holder for what a holder did not take.
func (b *batch) refused(g *group, now time.Time) {
	b.delegate.setApart(g.holder, now)
	b.delegate.forget(g.id)
	places := g.places
	g.open = nil
	next, ok := b.delegate.standIn(b.plan, places[0], b.jobs[places[0]].Service, g.holder, now)
	if !ok || g.refusals >= maxRefusals {
		b.reject(places)
		return
	}
	b.ask(&group{holder: next, places: places, standsIn: g.standsIn, refusals: g.refusals + 1}, g.attempts, now)
}

func (b *batch) reject(places []int) {
	for _, place := range places {
		b.over = append(b.over, forward.Ended{Index: place, Outcome: forward.NotRun{Reason: ReasonSilent, RetryAfter: apartFor}})
	}
}

// close ends a call that may be under way.
func (b *batch) close(g *group) {
	b.delegate.forget(g.id)
	if len(g.open) > 0 {
		b.delegate.cancel(g.holder, g.id)
	}
}

// Pending returns the trace of a shard that has not ended.
func (b *batch) Pending(index int, now time.Time) forward.Trace {
	for _, g := range b.groups {
		if i := lo.IndexOf(g.places, index); i >= 0 && g.open[i] {
			return forward.Trace{Sends: []forward.Sent{{
				Target: g.holder, Ending: "underWay", Millis: float64(now.Sub(g.asked).Microseconds()) / 1000,
			}}}
		}
	}
	return forward.Trace{}
}

// Abandon cancels what is under way.
func (b *batch) Abandon() {
	for _, g := range b.groups {
		b.close(g)
		g.open = nil
	}
}

// Release ends the batch.
func (b *batch) Release() {
	b.timer.Stop()
	b.Abandon()
}
