package holder

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
	// keepFor is how long an ended call can still be answered again: longer than its sender asks.
	keepFor = 2 * time.Second
	// longest bounds how long a call may run; routes wait for seconds.
	longest = 10 * time.Minute
	// maxCalls bounds the calls that are kept, some 2 KB each: 45 searches a second, eight calls each, for keepFor.
	maxCalls = 4096
)

// Holder runs calls of other daemons; all fields but Scope and Log are needed.
type Holder struct {
	Forwarder *forward.Forwarder
	// Ready reports whether the daemon knows targets and may send to them.
	Ready func() bool
	// Workers run the calls.
	Workers *workers.Pool
	Scope   tally.Scope
	Log     *zap.Logger

	mu    sync.Mutex
	calls map[key]*call
	// givenUp are the calls that were cancelled before they were taken.
	givenUp map[key]struct{}
}

// key names a call.
type key struct {
	sender string
	id     uint64
}

// Take runs a call and tells its sender what becomes of it; a call that is known is answered again.
func (h *Holder) Take(sender string, m *gossippb.PartsCall, reply func(*gossippb.PartsReply)) {
	k := key{sender: sender, id: m.GetId()}
	if c := h.known(k); c != nil {
		c.again()
		return
	}
	if h.wasGivenUp(k) {
		return
	}
	if odd(m) || !h.Ready() || h.Len() >= maxCalls {
		reply(&gossippb.PartsReply{Id: m.GetId(), Refused: true})
		return
	}
	if h.Scope != nil {
		h.Scope.Counter("heldCalls").Inc(1)
	}
	c := newCall(h, sender, m, reply, time.Now())
	h.keep(k, c)
	h.Workers.Go(func() {
		c.run()
		time.AfterFunc(keepFor, func() { h.drop(k) })
	})
}

// odd reports whether a call cannot be run as it is: no daemon sends such a one.
func odd(m *gossippb.PartsCall) bool {
	return len(m.GetShards()) == 0 || m.GetObjectiveMillis() == 0 || millis(m.GetLeftMillis()) > longest
}

func (h *Holder) known(k key) *call {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.calls[k]
}

func (h *Holder) keep(k key, c *call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.calls == nil {
		h.calls = map[key]*call{}
	}
	h.calls[k] = c
}

func (h *Holder) drop(k key) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.calls, k)
}

// Cancel ends a call whose sender does not wait any more, also one that arrives later than its cancellation.
func (h *Holder) Cancel(sender string, id uint64) {
	k := key{sender: sender, id: id}
	if c := h.known(k); c != nil {
		c.cancel()
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.givenUp == nil || len(h.givenUp) >= maxCalls {
		h.givenUp = map[key]struct{}{}
	}
	h.givenUp[k] = struct{}{}
}

// Grant allows a call its second sends.
func (h *Holder) Grant(sender string, id uint64) {
	if c := h.known(key{sender: sender, id: id}); c != nil {
		c.grant()
	}
}

func (h *Holder) wasGivenUp(k key) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.givenUp[k]
	return ok
}

// Len returns the number of calls that are under way or were a moment ago.
func (h *Holder) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.calls)
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
