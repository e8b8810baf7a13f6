package aggregator

import (
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/partswire"
	"github.com/knapweedpoint/knapweedpoint/internal/shardplan"
)

// reportInterval is how often late shards are reported again after a call has ended. Requesting daemons keep a report for
// 500 ms, so that one of two reports may be lost. A daemon that runs about one search a second would otherwise know
// nothing of late shards at most of its searches.
const reportInterval = 200 * time.Millisecond

// loads returns the shards of the call whose targets would answer a new call later than within the time that this call had
// until its cutoff.
func (c *call) loads() []*gossippb.ShardLoad {
	if c.aggregator.ReportLoads == nil || !c.aggregator.ReportLoads() {
		return nil
	}
	route := partswire.DecodeRoute(c.message)
	left := time.Duration(max(c.message.GetCutMillis(), 0)) * time.Millisecond
	return lo.FilterMap(c.message.GetShards(), func(shard string, i int) (*gossippb.ShardLoad, bool) {
		expected, ok := c.aggregator.Forwarder.ExpectedLatency(route, shard)
		return &gossippb.ShardLoad{Shard: uint32(i), ExpectedMillis: uint32(expected.Milliseconds())}, ok && float64(expected) > shardplan.LateFactor*float64(left)
	})
}

// followUp reports late shards of a call that has ended while they are late, for as long as the call is retained. The
// calls of a fallback aggregator have too little time until their cutoff to say which shards are late.
func (c *call) followUp() {
	c.mu.Lock()
	late := c.reportedLate
	c.mu.Unlock()
	if !late || c.message.GetAgain() || time.Since(c.startedAt) >= retainFor {
		return
	}
	time.AfterFunc(reportInterval, func() {
		if c.aggregator.isClosed() {
			return
		}
		c.mu.Lock()
		c.sendBlocks(len(c.blocks))
		c.mu.Unlock()
		c.followUp()
	})
}

func (a *Aggregator) isClosed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.closed
}
