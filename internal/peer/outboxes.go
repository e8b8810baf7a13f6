package peer

import (
	"context"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/membership"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
)

// Limits of an outbox.
const (
	// AckTimeout is how long a peer has to acknowledge an envelope before it is suspected and routed around.
	AckTimeout = 50 * time.Millisecond
	// MaxQueued limits the messages that wait for one peer; a message beyond the limit counts as not sent.
	MaxQueued = 4096
	// MaxInFlight limits the envelopes to one peer that wait for an acknowledgement.
	MaxInFlight = 4
	// MaxAttempts limits how often results, outcomes and suspicions are sent before they are dropped.
	MaxAttempts = 5

	retryPause = 100 * time.Millisecond
)

// Handler is the daemon side of the Outboxes.
type Handler interface {
	// Heartbeat returns the daemon's own heartbeat.
	Heartbeat() *peerpb.Beat
	// Deliver handles an envelope addressed to the daemon itself.
	Deliver(e *peerpb.Envelope)
	// HandleAck handles the heartbeat in a peer's acknowledgement; sent is when the acknowledged envelope was sent.
	HandleAck(from string, b *peerpb.Beat, sent time.Time)
	// Undelivered handles an unacknowledged envelope; mayHaveArrived says whether the peer may have received it.
	Undelivered(e *peerpb.Envelope, mayHaveArrived bool)
}

// Outboxes has one outbox per peer; messages enqueued while MaxInFlight envelopes are in flight share the next envelope.
type Outboxes struct {
	Exchanger Exchanger
	Board     *blackboard.Board
	Handler   Handler
	Group     *sync.WaitGroup
	Log       *zap.Logger

	mu     sync.Mutex
	byPeer map[string]*outbox
	// unsent is the number of messages that are neither acknowledged nor given up.
	unsent int
}

type outbox struct {
	pending  *peerpb.Envelope
	queued   int
	inFlight int
}

// Enqueue adds n messages to the outbox of a peer; add appends them to the envelope that waits there.
func (o *Outboxes) Enqueue(to string, n int, add func(e *peerpb.Envelope)) {
	self := o.Board.View.Get().Self
	if to == self {
		e := &peerpb.Envelope{From: self, To: self}
		add(e)
		o.Handler.Deliver(e)
		return
	}
	if !o.tryEnqueue(self, to, n, add) {
		e := &peerpb.Envelope{From: self, To: to}
		add(e)
		events.PeerQueueFull.Log(o.Log, zap.String("peer", to))
		o.Handler.Undelivered(e, false)
	}
}

func (o *Outboxes) tryEnqueue(self, to string, n int, add func(e *peerpb.Envelope)) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	box := o.byPeer[to]
	if box == nil {
		box = &outbox{}
		if o.byPeer == nil {
			o.byPeer = map[string]*outbox{}
		}
		o.byPeer[to] = box
	}
	if box.queued+n > MaxQueued {
		return false
	}
	if box.pending == nil {
		box.pending = &peerpb.Envelope{From: self, To: to}
	}
	add(box.pending)
	box.queued += n
	o.unsent += n
	if box.inFlight < MaxInFlight {
		box.inFlight++
		o.Group.Go(func() { o.sendAll(to) })
	}
	return true
}

func (o *Outboxes) sendAll(to string) {
	for {
		e, messages := o.takePending(to)
		if e == nil {
			return
		}
		o.send(e, 1)
		o.addUnsent(-messages)
	}
}

func (o *Outboxes) addUnsent(n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unsent += n
}

// Idle reports whether each message is acknowledged or given up; heartbeats do not count.
func (o *Outboxes) Idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.unsent == 0
}

// takePending removes and returns the pending envelope of a peer and the number of its messages.
func (o *Outboxes) takePending(to string) (*peerpb.Envelope, int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	box := o.byPeer[to]
	e, messages := box.pending, box.queued
	box.pending = nil
	box.queued = 0
	if e == nil {
		box.inFlight--
	}
	return e, messages
}

func (o *Outboxes) send(e *peerpb.Envelope, attempt int) {
	member, ok := o.Board.View.Get().Member(e.To)
	if !ok {
		o.Handler.Undelivered(e, false)
		return
	}
	e.Beat = o.Handler.Heartbeat()
	sent := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), AckTimeout)
	ack, err := o.Exchanger.Exchange(ctx, member.Address, e)
	cancel()
	if err == nil {
		o.Handler.HandleAck(e.To, ack.Beat, sent)
		return
	}
	o.markSuspect(e.To)
	o.Handler.Undelivered(e, !errorx.IsOfType(err, NotSent))
	o.retry(e, attempt)
}

func (o *Outboxes) markSuspect(name string) {
	now := time.Now()
	before, _ := o.Board.View.Get().Member(name)
	if before.Usable(now) {
		events.PeerUnreachable.Log(o.Log, zap.String("peer", name))
	}
	o.Board.View.Update(func(v *membership.View) *membership.View {
		next := v.WithSuspect(name, now)
		return &next
	})
}

// retry sends the messages of a failed envelope that must arrive once more, after a pause: results, outcomes of bookings
// and suspicions.
func (o *Outboxes) retry(e *peerpb.Envelope, attempt int) {
	if attempt >= MaxAttempts || len(e.Results)+len(e.ClaimOutcomes)+len(e.Suspicions) == 0 {
		return
	}
	resend := &peerpb.Envelope{
		From: e.From, To: e.To,
		Results: e.Results, ClaimOutcomes: e.ClaimOutcomes, Suspicions: e.Suspicions,
	}
	o.addUnsent(1)
	o.Group.Go(func() {
		defer o.addUnsent(-1)
		time.Sleep(retryPause * time.Duration(attempt))
		o.send(resend, attempt+1)
	})
}
