package aggregatorclient

import (
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/forward"
)

// provesNotRun reports whether no process runs a call that the given process has refused. A refusal says nothing of an earlier
// process of the aggregator, which may have received the first copy.
func (g *shardGroup) provesNotRun(process uint64) bool {
	return g.runner == 0 && (g.copies == 1 || g.addressed != 0 && process == g.addressed)
}

// handleRefusal queries the next aggregator for the shards of a refused call. After the last aggregator, this daemon
// queries the targets itself.
func (b *batch) handleRefusal(g *shardGroup, process uint64, now time.Time) {
	notRun := g.provesNotRun(process)
	events.PartsRefused.Log(b.client.Log, zap.String("request", b.search.Request.ID), zap.String("peer", g.aggregator),
		zap.Uint64("process", process), zap.Uint64("addressed", g.addressed), zap.Uint64("runner", g.runner),
		zap.Int("copies", g.copies), zap.Bool("notRun", notRun))
	if !notRun {
		b.failOver(g, now)
		return
	}
	b.client.deprioritize(g.aggregator, now)
	b.client.unregister(g.id)
	if b.stopped {
		g.pending = nil
		if g.fallback {
			b.markLost(g.aggregator, g.indexes)
		} else {
			b.markNotRun(g.indexes, ReasonUnresponsive)
		}
		return
	}
	if g.copies > 1 {
		// An aggregator of an earlier version would run a copy that arrives late.
		b.client.cancel(g.aggregator, g.id)
	}
	indexes := g.indexes
	g.pending, g.notRun = nil, true
	if b.search.Revoked != nil && lo.EveryBy(b.groups, func(g *shardGroup) bool { return g.notRun }) && b.search.Revoked() {
		b.markNotRun(indexes, forward.ReasonRevoked)
		return
	}
	next, ok := b.client.fallbackFor(b.plan, indexes[0], b.jobs[indexes[0]].Service, g.aggregator, now)
	if !ok || g.refusals >= maxRefusals {
		switch {
		case g.aggregator != b.client.Name:
			next = b.client.Name
		case g.fallback:
			// The aggregator that did not reply may have queried targets.
			b.markLost(g.aggregator, indexes)
			return
		default:
			b.markNotRun(indexes, ReasonUnresponsive)
			return
		}
	}
	b.call(&shardGroup{aggregator: next, indexes: indexes, fallback: g.fallback, refusals: g.refusals + 1}, g.attempts, now)
}

func (b *batch) markNotRun(indexes []int, reason string) {
	for _, index := range indexes {
		b.finished = append(b.finished, forward.JobResult{Index: index, Outcome: forward.NotRun{Reason: reason, RetryAfter: deprioritizeFor}})
	}
}
