package delegate

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
)

const (
	// maxBody is the size in bytes of a request that fits a datagram with all that a call says besides.
	maxBody = 8 << 10
	// apartFor is how long a holder that fell silent is asked after the others; its end is known to all by then,
	// or it is back.
	apartFor = time.Second
	// maxReplies bounds the replies that wait for one search; each tells all that came before.
	maxReplies = 64
)

// Peers carries messages to other daemons.
type Peers interface {
	// Call, Grant and Cancel reach the named daemon; a lost message is not told of.
	Call(name string, c *gossippb.PartsCall)
	Grant(name string, id uint64)
	Cancel(name string, id uint64)
	// Local runs a call on this daemon.
	Local(c *gossippb.PartsCall, reply func(*gossippb.PartsReply))
	// GrantLocal and CancelLocal do the same for a call on this daemon.
	GrantLocal(id uint64)
	CancelLocal(id uint64)
	// Echo sends this daemon a reply of its own, which is read after all that arrived before it.
	Echo(r *gossippb.PartsReply)
}

// Delegate is a scatter.Runner that lets holders ask the shards; all fields but Scope and Log are needed.
type Delegate struct {
	// Name is this daemon's name, AvailabilityZone the zone that it stands in.
	Name             string
	AvailabilityZone string
	Direct           scatter.Direct
	Table            *blackboard.Cell[assignment.Table]
	Peers            Peers
	Scope            tally.Scope
	Log              *zap.Logger

	mu sync.Mutex
	// waiting are the searches under way, by the ids of their calls.
	waiting map[uint64]*batch
	// apart holds the daemons that fell silent, and until when they are asked last.
	apart map[string]time.Time
}

// Start hands the jobs to the holders of their shards, or where there are none sends them from here.
func (d *Delegate) Start(s scatter.Search, jobs []forward.Job) scatter.Batch {
	p, ok := d.plan(s, jobs)
	if !ok {
		return d.Direct.Start(s, jobs)
	}
	b := newBatch(d, s, jobs, p)
	now := time.Now()
	for holder, indexes := range d.group(p, jobs, now) {
		b.begin(holder, indexes, now)
	}
	return b
}

// Reachable reports whether any target of the service may receive work now.
func (d *Delegate) Reachable(service string) bool { return d.Direct.Reachable(service) }

// Replied takes a holder's reply.
func (d *Delegate) Replied(holder string, r *gossippb.PartsReply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !r.GetEcho() {
		delete(d.apart, holder)
	}
	if b := d.waiting[r.GetId()]; b != nil {
		select {
		case b.replies <- r:
		default:
			// The next reply tells this one's parts again.
		}
	}
}

// part names the shards of a search that have the same holders.
type part struct {
	zone   string
	bucket int
}

// group returns the places of the jobs by the daemon that is to be asked first.
func (d *Delegate) group(p plan, jobs []forward.Job, now time.Time) map[string][]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	first := map[part]string{}
	out := map[string][]int{}
	for i, j := range jobs {
		k := part{zone: p.zones[i], bucket: assignment.Bucket(j.Service)}
		if _, ok := first[k]; !ok {
			first[k] = d.choose(p.holders(i, j.Service), now)
		}
		out[first[k]] = append(out[first[k]], i)
	}
	return out
}

// choose returns the first holder that is not set apart, or the first of all; the caller holds mu.
func (d *Delegate) choose(holders []string, now time.Time) string {
	name, ok := lo.Find(holders, func(h string) bool { return !now.Before(d.apart[h]) })
	if !ok {
		return holders[0]
	}
	return name
}

// standIn returns the daemon to ask after another one.
func (d *Delegate) standIn(p plan, place int, shard, after string, now time.Time) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	others := lo.Without(p.holders(place, shard), after)
	if len(others) == 0 {
		return "", false
	}
	return d.choose(others, now), true
}

// setApart notes that a holder fell silent, or refused.
func (d *Delegate) setApart(holder string, now time.Time) {
	if d.Scope != nil {
		d.Scope.Counter("holdersSetApart").Inc(1)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.apart == nil {
		d.apart = map[string]time.Time{}
	}
	d.apart[holder] = now.Add(apartFor)
}

// register returns a new id for a call of a search.
func (d *Delegate) register(b *batch) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.waiting == nil {
		d.waiting = map[uint64]*batch{}
	}
	id := rand.Uint64()
	d.waiting[id] = b
	return id
}

func (d *Delegate) forget(id uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, id)
}

func (d *Delegate) call(holder string, c *gossippb.PartsCall) {
	if holder == d.Name {
		d.Peers.Local(c, func(r *gossippb.PartsReply) { d.Replied(holder, r) })
		return
	}
	d.Peers.Call(holder, c)
}

func (d *Delegate) grant(holder string, id uint64) {
	if holder == d.Name {
		d.Peers.GrantLocal(id)
		return
	}
	d.Peers.Grant(holder, id)
}

func (d *Delegate) cancel(holder string, id uint64) {
	if holder == d.Name {
		d.Peers.CancelLocal(id)
		return
	}
	d.Peers.Cancel(holder, id)
}
