package aggregator

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/workers"
)

const (
	// retainFor is how long a finished call is retained so that its reply can be repeated; the requesting daemon does
	// not send a call again after that.
	retainFor = 2 * time.Second
	// maxDuration bounds how long a call may run; the timeouts of routes are seconds.
	maxDuration = 10 * time.Minute
	// maxCalls bounds the retained calls of some 2 KB each: 45 searches a second with eight calls each over
	// retainFor.
	maxCalls = 4096
)

// Aggregator runs the calls of requesting daemons. All exported fields except Scope and Log are required.
type Aggregator struct {
	Forwarder *forward.Forwarder
	// Ready reports whether the daemon knows targets and may send to them.
	Ready func() bool
	// Workers runs the calls.
	Workers *workers.Pool
	Scope   tally.Scope
	Log     *zap.Logger

	mu    sync.Mutex
	calls map[key]*call
	// cancelled holds the calls that were cancelled before they arrived.
	cancelled map[key]struct{}
}

// key identifies a call.
type key struct {
	requester string
	id        uint64
}

// HandleCall runs a call and reports the results to the requesting daemon. For a call that is already known it repeats the
// reply.
func (h *Aggregator) HandleCall(requester string, m *gossippb.PartsCall, reply func(*gossippb.PartsReply)) {
	k := key{requester: requester, id: m.GetId()}
	if c := h.lookup(k); c != nil {
		c.resend()
		return
	}
	if h.wasCancelled(k) {
		return
	}
	if malformed(m) || !h.Ready() || h.Len() >= maxCalls {
		reply(&gossippb.PartsReply{Id: m.GetId(), Refused: true})
		return
	}
	if h.Scope != nil {
		h.Scope.Counter("heldCalls").Inc(1)
	}
	c := newCall(h, requester, m, reply, time.Now())
	h.add(k, c)
	h.Workers.Go(func() {
		c.run()
		time.AfterFunc(retainFor, func() { h.remove(k) })
	})
}

// malformed reports whether a call cannot be run as it is. No daemon sends such calls.
func malformed(m *gossippb.PartsCall) bool {
	return len(m.GetShards()) == 0 || m.GetObjectiveMillis() == 0 || millis(m.GetLeftMillis()) > maxDuration
}

func (h *Aggregator) lookup(k key) *call {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls[k]
}

func (h *Aggregator) add(k key, c *call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.calls == nil {
		h.calls = map[key]*call{}
	}
	h.calls[k] = c
}

func (h *Aggregator) remove(k key) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.calls, k)
}

// Cancel stops a call whose requesting daemon no longer waits. A call that arrives after its cancellation is not run.
func (h *Aggregator) Cancel(requester string, id uint64) {
	k := key{requester: requester, id: id}
	if c := h.lookup(k); c != nil {
		c.cancel()
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cancelled == nil || len(h.cancelled) >= maxCalls {
		h.cancelled = map[key]struct{}{}
	}
	h.cancelled[k] = struct{}{}
}

// Grant gives a call its hedge grant.
func (h *Aggregator) Grant(requester string, id uint64) {
	if c := h.lookup(key{requester: requester, id: id}); c != nil {
		c.grant()
	}
}

func (h *Aggregator) wasCancelled(k key) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.cancelled[k]
	return ok
}

// Len returns the number of calls that are in progress or retained.
func (h *Aggregator) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.calls)
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
