package aggregator

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/partswire"
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
		expected, known := c.aggregator.Forwarder.ExpectedLatency(route, shard)
		late, ok := c.aggregator.late.observe(route.Host+route.Prefix+" "+shard, lo.Ternary(known, expected, 0), left)
		return &gossippb.ShardLoad{Shard: uint32(i), ExpectedMillis: uint32(late.Milliseconds())}, ok
	})
}

// recoveredShare is the share of the time until the cutoff within which a late shard must be expected to answer to count as
// fast again. An aggregator sees only its own calls to a target, so that a slow target seems idle between two of them. Of 1, 0.75,
// 0.5 and 0.3, the fewest searches were late with 0.5.
const recoveredShare = 0.5

// lateShards holds the expected latency of late shards by route and shard.
type lateShards struct {
	mu       sync.Mutex
	expected map[string]time.Duration
}

// observe returns the expected latency of a shard that counts as late; false if it counts as fast.
func (l *lateShards) observe(shard string, expected, left time.Duration) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case expected > left:
		if l.expected == nil {
			l.expected = map[string]time.Duration{}
		}
		l.expected[shard] = expected
	case float64(expected) < recoveredShare*float64(left):
		delete(l.expected, shard)
	}
	late, ok := l.expected[shard]
	return late, ok
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
