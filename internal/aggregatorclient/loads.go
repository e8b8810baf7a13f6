package aggregatorclient

import (
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/scatter"
	"github.com/knapweedpoint/knapweedpoint/internal/shardload"
)

// reportsFor is how long reports about the shards of a call are accepted: two seconds for which its aggregator retains it
// after its end, and as long for the call.
const reportsFor = 4 * time.Second

// ExpectedLatency returns the expected latency of a new call for a shard of a search, as its aggregator has reported it; false
// if it is unknown. Without aggregators it is unknown: a daemon then sees too few of the calls to a target to expect latencies
// well, and leaving out shards by them made more searches late.
func (c *Client) ExpectedLatency(s scatter.Search, shard string) (time.Duration, bool) {
	table := c.Table.Get()
	if c.Loads == nil || !sentByAggregators(table, s) || !table.UsesAggregators(len(s.Scatter.Shards)) {
		return 0, false
	}
	return c.Loads.Expected(shard, time.Now())
}

// retainShards keeps the shards of a call, so that reports about them can be read. The caller must hold mu.
func (c *Client) retainShards(id uint64, shards []string) {
	if c.Loads == nil {
		return
	}
	if c.callShards == nil {
		c.callShards = map[uint64][]string{}
	}
	c.callShards[id] = shards
	time.AfterFunc(reportsFor, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.callShards, id)
	})
}

// recordLoads keeps what a reply reports about the shards of its call.
func (c *Client) recordLoads(aggregator string, process uint64, r *gossippb.PartsReply, now time.Time) {
	if c.Loads == nil || r.GetEcho() || r.GetRefused() {
		return
	}
	c.mu.Lock()
	shards := c.callShards[r.GetId()]
	c.mu.Unlock()
	late := map[string]time.Duration{}
	for _, l := range r.GetLoads() {
		if int(l.GetShard()) < len(shards) {
			late[shards[l.GetShard()]] = time.Duration(l.GetExpectedMillis()) * time.Millisecond
		}
	}
	if len(shards) > 0 {
		c.Loads.Record(shardload.Report{Aggregator: aggregator, Process: process, Shards: shards, Late: late}, now)
	}
}
