package aggregatorclient

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/assignment"
	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/scatter"
	"github.com/knapweedpoint/knapweedpoint/internal/shardload"
)

const (
	// maxBody is the maximum body size in bytes of a request that fits in one datagram with the other fields of a
	// call.
	maxBody = 8 << 10
	// deprioritizeFor is how long an aggregator that was unresponsive or refused a call is queried only after the
	// others. After that time either its failure is known to all daemons or it has recovered.
	deprioritizeFor = time.Second
	// maxReplies bounds the queued replies of one search. A reply that is dropped is repeated in full when the call
	// is sent again.
	maxReplies = 64
)

// Peers sends messages to the aggregators of other daemons and of this one.
type Peers interface {
	// Process returns the incarnation of the named daemon as this daemon knows it, or 0 if it is unknown. The daemon may have
	// started again since.
	Process(name string) uint64
	// Call, Grant and Cancel send to the named daemon. The loss of a message is not reported.
	Call(name string, c *gossippb.PartsCall)
	Grant(name string, g *gossippb.PartsGrant)
	Cancel(name string, id uint64)
	// CallLocal runs a call on this daemon.
	CallLocal(c *gossippb.PartsCall, reply func(*gossippb.PartsReply))
	// GrantLocal and CancelLocal act on a call that runs on this daemon.
	GrantLocal(g *gossippb.PartsGrant)
	CancelLocal(id uint64)
	// SendLoopback sends a loopback probe: this daemon receives the reply r after all messages that arrived before it.
	SendLoopback(r *gossippb.PartsReply)
}

// Client is a scatter.Runner that queries shards through aggregators. All exported fields are required unless
// they are marked as optional.
type Client struct {
	// Name is the name of this daemon; AvailabilityZone is the zone that it runs in.
	Name             string
	AvailabilityZone string
	Direct           scatter.Direct
	Table            *blackboard.Cell[assignment.Table]
	Peers            Peers
	// Loads keeps what aggregators report about late shards. It is optional; without it reports are ignored.
	Loads *shardload.Register
	// Scope and Log are optional.
	Scope tally.Scope
	Log   *zap.Logger

	mu sync.Mutex
	// pendingCalls holds the searches in progress by the IDs of their calls.
	pendingCalls map[uint64]*batch
	// deprioritized holds the aggregators that were unresponsive or refused a call, and until when they are queried
	// last.
	deprioritized map[string]time.Time
	// callShards holds the shards of the latest calls by the IDs of the calls. It is empty without Loads.
	callShards map[uint64][]string
}

// Start sends the jobs to the aggregators of their shards. Searches without aggregators query the targets from this
// daemon.
func (c *Client) Start(s scatter.Search, jobs []forward.Job) scatter.Batch {
	p, ok := c.plan(s, jobs)
	if !ok {
		return c.Direct.Start(s, jobs)
	}
	b := newBatch(c, s, jobs, p)
	now := time.Now()
	for aggregator, indexes := range c.groupByAggregator(p, jobs, now) {
		b.start(aggregator, indexes, now)
	}
	return b
}

// Reachable reports whether any target of the service may receive work now.
func (c *Client) Reachable(service string) bool { return c.Direct.Reachable(service) }

// Live returns the number of targets of the service that may receive work now, without those in except.
func (c *Client) Live(service string, except []string) int { return c.Direct.Live(service, except) }

// HoldWait returns how long it takes until the first of a service's targets that have asked for a hold may receive
// work, as far as this daemon knows; false when there is none.
func (c *Client) HoldWait(service string) (time.Duration, bool) { return c.Direct.HoldWait(service) }

// receivedReply is a reply and the incarnation of the process that sent it.
type receivedReply struct {
	*gossippb.PartsReply
	process uint64
}

// HandleReply passes the reply of a process of an aggregator to the search that it belongs to.
func (c *Client) HandleReply(aggregator string, process uint64, r *gossippb.PartsReply) {
	c.recordLoads(aggregator, process, r, time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.GetEcho() {
		delete(c.deprioritized, aggregator)
	}
	if b := c.pendingCalls[r.GetId()]; b != nil {
		select {
		case b.replies <- receivedReply{PartsReply: r, process: process}:
		default:
			// The next reply shows that this one is missing, and the call is sent again.
		}
	}
}

// aggregatorKey identifies the shards of a search that have the same aggregators.
type aggregatorKey struct {
	zone   string
	bucket int
}

// groupByAggregator returns the indexes of the jobs by the aggregator to query first.
func (c *Client) groupByAggregator(p plan, jobs []forward.Job, now time.Time) map[string][]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := map[aggregatorKey]string{}
	out := map[string][]int{}
	for i, j := range jobs {
		if j.Deferred {
			continue
		}
		k := aggregatorKey{zone: p.zones[i], bucket: assignment.Bucket(j.Service)}
		if _, ok := first[k]; !ok {
			first[k] = c.choose(p.aggregators(i, j.Service), now)
		}
		out[first[k]] = append(out[first[k]], i)
	}
	return out
}

// choose returns the first aggregator that is not deprioritized, or the first one when all are. The caller must hold
// mu.
func (c *Client) choose(aggregators []string, now time.Time) string {
	name, ok := lo.Find(aggregators, func(a string) bool { return !now.Before(c.deprioritized[a]) })
	if !ok {
		return aggregators[0]
	}
	return name
}

// fallbackFor returns the aggregator to query instead of one that is unresponsive or refused the call; false when
// there is none.
func (c *Client) fallbackFor(p plan, index int, shard, failed string, now time.Time) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	others := lo.Without(p.aggregators(index, shard), failed)
	if len(others) == 0 {
		return "", false
	}
	return c.choose(others, now), true
}

// deprioritize records that an aggregator was unresponsive or refused a call.
func (c *Client) deprioritize(aggregator string, now time.Time) {
	if c.Scope != nil {
		c.Scope.Counter("holdersSetApart").Inc(1)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.deprioritized == nil {
		c.deprioritized = map[string]time.Time{}
	}
	c.deprioritized[aggregator] = now.Add(deprioritizeFor)
}

// register returns a new ID for a call for some shards of a search.
func (c *Client) register(b *batch, shards []string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pendingCalls == nil {
		c.pendingCalls = map[uint64]*batch{}
	}
	id := rand.Uint64()
	c.pendingCalls[id] = b
	c.retainShards(id, shards)
	return id
}

func (c *Client) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pendingCalls, id)
}

func (c *Client) call(aggregator string, m *gossippb.PartsCall) {
	if aggregator == c.Name {
		process := c.Peers.Process(aggregator)
		c.Peers.CallLocal(m, func(r *gossippb.PartsReply) { c.HandleReply(aggregator, process, r) })
		return
	}
	c.Peers.Call(aggregator, m)
}

func (c *Client) grant(aggregator string, g *gossippb.PartsGrant) {
	if aggregator == c.Name {
		c.Peers.GrantLocal(g)
		return
	}
	c.Peers.Grant(aggregator, g)
}

func (c *Client) cancel(aggregator string, id uint64) {
	if aggregator == c.Name {
		c.Peers.CancelLocal(id)
		return
	}
	c.Peers.Cancel(aggregator, id)
}
