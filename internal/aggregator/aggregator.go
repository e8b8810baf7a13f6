package aggregator

import (
	"context"
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
	// lingerFor is how long a daemon that stops still repeats the last replies for a requesting daemon that missed some:
	// two hops between zones and one scheduling pause of a small VM.
	lingerFor = 20 * time.Millisecond
	// maxDuration bounds how long a call may run; the timeouts of routes are seconds.
	maxDuration = 10 * time.Minute
	// maxCalls bounds the calls in progress and retained together, of some 2 KB each. It allows for 45 searches a second
	// with eight calls each, retained for retainFor.
	maxCalls = 4096
)

// Aggregator runs the calls of requesting daemons. All exported fields are required unless they are
// marked as optional.
type Aggregator struct {
	// Name is the name of this daemon. Its own calls are not refused while it drains, because it waits for its callers.
	Name string
	// Incarnation returns the incarnation of this process, as its peers know it.
	Incarnation func() uint64
	Forwarder   *forward.Forwarder
	// Ready reports whether the daemon knows targets and may send to them.
	Ready func() bool
	// Workers runs the calls.
	Workers *workers.Pool
	// ReportLoads reports whether replies name the shards that would answer a new call late. It is optional; without it
	// they do not.
	ReportLoads func() bool
	// Scope and Log are optional.
	Scope tally.Scope
	Log   *zap.Logger

	mu    sync.Mutex
	calls map[key]*call
	// late holds the shards that are reported as late.
	late lateShards
	// unwanted holds the latest calls that are not run when they arrive: those that were cancelled before, those that have
	// ended and are no longer retained, and those that were refused. When it is full, it becomes formerlyUnwanted, and that is
	// dropped.
	unwanted, formerlyUnwanted map[key]unwantedCall
	// exitAt is when a draining daemon exits at the latest; it is zero until Drain. closed is set by Shutdown.
	exitAt time.Time
	closed bool
	// running counts the calls in progress. It is not added to once closed is set.
	running sync.WaitGroup
}

// key identifies a call.
type key struct {
	requester string
	id        uint64
}

// unwantedCall says why a call is not run when it arrives.
type unwantedCall struct {
	// refused is set if the call was refused. It is then refused again, because the refusal may have been lost.
	refused bool
}

// HandleCall runs a call and reports the results to the requesting daemon. For a call that is already known it repeats
// the reply. A call that is sent again is run only by the process to which it was first sent.
func (a *Aggregator) HandleCall(requester string, m *gossippb.PartsCall, reply func(*gossippb.PartsReply)) {
	k := key{requester: requester, id: m.GetId()}
	if c := a.lookup(k); c != nil {
		c.resend()
		return
	}
	if u, ok := a.findUnwanted(k); ok {
		if u.refused {
			refuse(k.id, reply)
		}
		return
	}
	if resent := m.GetResent(); resent != nil {
		if resent.GetIncarnation() != a.Incarnation() || resent.GetCall().GetId() != k.id {
			// An earlier process of this daemon may have run the call.
			a.refuse(k, reply)
			return
		}
		m = resent.GetCall()
	}
	if malformed(m) || !a.Ready() {
		a.refuse(k, reply)
		return
	}
	c := newCall(a, requester, m, reply, time.Now())
	if !a.add(k, c) {
		c.cancel()
		a.refuse(k, reply)
		return
	}
	if a.Scope != nil {
		a.Scope.Counter("heldCalls").Inc(1)
	}
	a.Workers.Go(func() {
		defer a.running.Done()
		c.run()
		time.AfterFunc(retainFor, func() { a.remove(k) })
	})
}

// refuse replies that this process has sent nothing to any target and will not, so that the requesting daemon calls another
// aggregator at once. Copies of the call that arrive later are refused too.
func (a *Aggregator) refuse(k key, reply func(*gossippb.PartsReply)) {
	a.mu.Lock()
	a.markUnwanted(k, unwantedCall{refused: true})
	a.mu.Unlock()
	refuse(k.id, reply)
}

func refuse(id uint64, reply func(*gossippb.PartsReply)) {
	reply(&gossippb.PartsReply{Id: id, Refused: true})
}

// malformed reports whether a call has no shards, no objective or a timeout above maxDuration. No daemon sends such
// calls.
func malformed(m *gossippb.PartsCall) bool {
	return len(m.GetShards()) == 0 || m.GetObjectiveMillis() == 0 || millis(m.GetLeftMillis()) > maxDuration
}

func (a *Aggregator) lookup(k key) *call {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.calls[k]
}

// add adds a call to those in progress. It returns false if the call must be refused.
func (a *Aggregator) add(k key, c *call) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	endsTooLate := !a.exitAt.IsZero() && k.requester != a.Name && c.deadline().After(a.exitAt)
	if a.closed || endsTooLate || len(a.calls) >= maxCalls {
		return false
	}
	if a.calls == nil {
		a.calls = map[key]*call{}
	}
	a.calls[k] = c
	a.running.Add(1)
	return true
}

// remove ends the retention of a call. If the call arrives again, its datagram has waited for longer, because this
// daemon was not scheduled.
func (a *Aggregator) remove(k key) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.calls, k)
	a.markUnwanted(k, unwantedCall{})
}

// Drain makes the aggregator refuse the calls of other daemons that may last until exitAt, when this daemon exits at the
// latest. At that time it reports the shards of their calls that have no result as lost.
func (a *Aggregator) Drain(exitAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.exitAt = exitAt
	time.AfterFunc(time.Until(exitAt), func() { a.giveUp(func(k key) bool { return k.requester != a.Name }) })
}

// Shutdown refuses all further calls and waits until those in progress have ended and their replies have arrived. When
// ctx is done before the calls have ended, it reports the shards without a result as lost and returns the error of ctx.
func (a *Aggregator) Shutdown(ctx context.Context) error {
	a.mu.Lock()
	a.closed = true
	a.mu.Unlock()
	stop := context.AfterFunc(ctx, func() { a.giveUp(func(key) bool { return true }) })
	a.running.Wait()
	ended := stop()
	if a.Len() > 0 {
		time.Sleep(lingerFor)
	}
	if ended {
		return nil
	}
	return ctx.Err()
}

// giveUp ends the selected calls in progress.
func (a *Aggregator) giveUp(selected func(key) bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for k, c := range a.calls {
		if selected(k) {
			c.giveUp()
		}
	}
}

// Cancel stops a call whose requesting daemon no longer waits. A call that arrives after its cancellation is not run.
func (a *Aggregator) Cancel(requester string, id uint64) {
	k := key{requester: requester, id: id}
	if c := a.lookup(k); c != nil {
		c.cancel()
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.markUnwanted(k, unwantedCall{})
}

// markUnwanted records that a call is not run when it arrives. The caller must hold mu.
func (a *Aggregator) markUnwanted(k key, u unwantedCall) {
	if a.unwanted == nil || len(a.unwanted) >= maxCalls {
		a.unwanted, a.formerlyUnwanted = map[key]unwantedCall{}, a.unwanted
	}
	a.unwanted[k] = u
}

// Grant gives a call its hedge grant, or one for a single hedge.
func (a *Aggregator) Grant(requester string, g *gossippb.PartsGrant) {
	if c := a.lookup(key{requester: requester, id: g.GetId()}); c != nil {
		c.grant(g.GetProbe())
	}
}

func (a *Aggregator) findUnwanted(k key) (unwantedCall, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if u, ok := a.unwanted[k]; ok {
		return u, true
	}
	u, ok := a.formerlyUnwanted[k]
	return u, ok
}

// Len returns the number of calls that are in progress or retained.
func (a *Aggregator) Len() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.calls)
}

func millis(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }
