package forward

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/callqueue"
	"github.com/knapweedpoint/knapweedpoint/internal/targetselect"
)

const (
	// serveShare is the share of the service time below which the time left of a call is too little to serve it: the
	// service time is a median, and few calls take less than half of it.
	serveShare = 0.5
	// maxWaits bounds how often one job waits in the queue: before each send, and after each permit that was denied.
	maxWaits = maxSends + maxPermitRequests
)

// waitingCalls holds the calls of all services that wait for a target. Its zero value is empty.
type waitingCalls struct {
	// active is the number of services; with 0, calls take no lock.
	active atomic.Int64

	mu       sync.Mutex
	services map[string]*serviceQueue
	usage    QueueUsage
}

// serviceQueue holds the waiting calls of one service.
type serviceQueue struct {
	queue callqueue.Queue
	calls map[*callqueue.Call]*waitingCall
	// released is the number of calls that were released and have not been sent yet.
	released int
	// timer releases calls at the time at which a target is expected to be available.
	timer *time.Timer
}

// waitingCall is a call of one job in the queue.
type waitingCall struct {
	callqueue.Call
	index int
	// done gets the call once it has been released or dropped.
	done chan<- *waitingCall
	// released is set before that if the call may be sent.
	released bool
}

// QueueUsage counts what happened in the call queue.
type QueueUsage struct {
	// Queued is the number of calls that had to wait; Released that of those that were sent then; Late that of those that
	// had too little time left; Evicted that of those that had to make room for more urgent ones.
	Queued, Released, Late, Evicted int
	// Waiting is the number of calls that wait now, and Services that of the services they wait for.
	Waiting, Services int
	// Longest is the service for which most calls wait now.
	Longest string
}

// TakeQueueUsage returns what happened in the call queue since the last call.
func (f *Forwarder) TakeQueueUsage() QueueUsage {
	w := &f.waiting
	w.mu.Lock()
	defer w.mu.Unlock()
	u, longest := w.usage, 0
	w.usage = QueueUsage{}
	for name, s := range w.services {
		u.Waiting += s.queue.Len()
		u.Services++
		if s.queue.Len() > longest {
			u.Longest, longest = name, s.queue.Len()
		}
	}
	return u
}

// length returns the number of calls that wait for a service.
func (w *waitingCalls) length(service string) int {
	if w.active.Load() == 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.services[service]; s != nil {
		return s.queue.Len()
	}
	return 0
}

// busy reports whether calls wait for the service or have just been released.
func (w *waitingCalls) busy(service string) bool {
	if w.active.Load() == 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.services[service] != nil
}

// enqueue adds a call to the queue of its service, and releases calls as far as targets have room.
func (f *Forwarder) enqueue(service string, c *waitingCall, now time.Time) {
	w := &f.waiting
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.services[service]
	if s == nil {
		s = &serviceQueue{calls: map[*callqueue.Call]*waitingCall{}}
		if w.services == nil {
			w.services = map[string]*serviceQueue{}
		}
		w.services[service] = s
		w.active.Add(1)
	}
	w.usage.Queued++
	s.calls[&c.Call] = c
	if dropped := s.queue.Push(&c.Call, now); dropped != nil {
		if now.Before(dropped.Expires()) {
			w.usage.Evicted++
		} else {
			w.usage.Late++
		}
		s.end(dropped)
	}
	f.release(service, s, now)
}

// end tells the job of a call that it does not wait any more.
func (s *serviceQueue) end(c *callqueue.Call) {
	waiting := s.calls[c]
	delete(s.calls, c)
	waiting.done <- waiting
}

// targetsChanged releases calls of a service after one of its targets may have become available.
func (f *Forwarder) targetsChanged(service string) {
	w := &f.waiting
	if w.active.Load() == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if s := w.services[service]; s != nil {
		f.release(service, s, time.Now())
	}
}

// TargetsChanged releases waiting calls after the known targets have changed.
func (f *Forwarder) TargetsChanged() {
	w := &f.waiting
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	for name, s := range w.services {
		f.release(name, s, now)
	}
}

// sent records that a released call has been sent, or is not sent.
func (f *Forwarder) sent(service string, now time.Time) {
	w := &f.waiting
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.services[service]
	s.released--
	f.release(service, s, now)
}

// leave removes a call whose job has ended.
func (f *Forwarder) leave(service string, c *waitingCall, late bool, now time.Time) {
	w := &f.waiting
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.services[service]
	switch {
	case s == nil:
	case s.queue.Remove(&c.Call):
		delete(s.calls, &c.Call)
		if late {
			w.usage.Late++
		}
		f.release(service, s, now)
	case c.released:
		s.released--
		f.release(service, s, now)
	}
}

// release releases as many calls as the targets of the service can take. If none of its targets may receive work, it
// releases all calls, which fail as if there were no queue. It removes the queue once nothing is left of it.
func (f *Forwarder) release(service string, s *serviceQueue, now time.Time) {
	w := &f.waiting
	if s.queue.Len() > 0 {
		room := f.room(service, now)
		for free := room.Calls - s.released; s.queue.Len() > 0 && (free > 0 || !room.Open); free-- {
			c := s.queue.Pop(now)
			if c == nil {
				// The rest has too little time left; their jobs remove them now.
				break
			}
			s.calls[c].released = true
			s.released++
			w.usage.Released++
			s.end(c)
		}
		f.wakeAt(service, s, room.At, now)
	}
	if s.queue.Len() == 0 && s.timer != nil {
		s.timer.Stop()
	}
	if s.queue.Len() == 0 && s.released == 0 {
		delete(w.services, service)
		w.active.Add(-1)
	}
}

// room returns how many more calls the targets of a service that may receive work can take.
func (f *Forwarder) room(service string, now time.Time) targetselect.Room {
	room := f.Selector.Room(f.usable(service, now), now)
	if wait, holding := f.HoldWait(service); holding {
		if at := now.Add(max(wait, minBackoff)); room.At.IsZero() || at.Before(room.At) {
			room.At = at
		}
	}
	return room
}

// wakeAt sets the timer of a queue; a zero time sets none.
func (f *Forwarder) wakeAt(service string, s *serviceQueue, at, now time.Time) {
	switch {
	case at.IsZero():
	case s.timer == nil:
		s.timer = time.AfterFunc(at.Sub(now), func() { f.targetsChanged(service) })
	default:
		s.timer.Reset(at.Sub(now))
	}
}

func (f *Forwarder) queuesCalls(service string) bool {
	return f.QueueCalls != nil && f.QueueCalls(service)
}

// mustWait reports whether a call has to wait although a target was selected.
func (r *run) mustWait(s targetselect.Selection) bool {
	f := r.batch.forwarder
	return !r.wasReleased && (s.Full || f.waiting.busy(r.job.Service)) && f.queuesCalls(r.job.Service)
}

// wait adds the job's call to the queue. It returns false if the call has too little time left.
func (r *run) wait(now time.Time) bool {
	f, b := r.batch.forwarder, r.batch
	r.waits++
	if r.waits > maxWaits {
		r.queueRefused = true
		return false
	}
	class := r.job.class()
	c := &waitingCall{index: r.index}
	c.Priority, c.Deadline = r.job.Route.Priority, r.job.Deadline
	c.Cutoff = b.startedAt.Add(r.job.Route.Objective)
	c.Expected = time.Duration(targetselect.HedgeDelayFactor * float64(f.Selector.TypicalLatency(class)))
	c.Service = time.Duration(serveShare * float64(f.Selector.ServiceTime(class, f.usable(r.job.Service, now), now)))
	if !now.Before(c.Expires()) {
		r.queueRefused = true
		return false
	}
	if b.released == nil {
		b.released = make(chan *waitingCall, len(b.runs)*maxWaits)
	}
	c.done = b.released
	r.waiting = c
	f.enqueue(r.job.Service, c, now)
	return true
}

// handleRelease sends a call that has waited, or ends it if it was dropped from the queue.
func (r *run) handleRelease(c *waitingCall, now time.Time) Outcome {
	if r.waiting != c {
		return nil
	}
	r.waiting = nil
	if !c.released {
		r.queueRefused = true
		return r.failure()
	}
	defer r.batch.forwarder.sent(r.job.Service, now)
	switch {
	case r.batch.mayCrashTargets():
		r.held, r.arrived = true, false
		return nil
	case !r.mayResend():
		r.grantAt, r.arrived = now.Add(resendPollInterval), false
		return nil
	}
	r.wasReleased = true
	defer func() { r.wasReleased = false }()
	if r.launch(r.lastFailure == nil, now) {
		return nil
	}
	return r.failure()
}

// leaveQueue removes the job's call from the queue, if it waits there.
func (r *run) leaveQueue(late bool) {
	if r.waiting != nil {
		r.batch.forwarder.leave(r.job.Service, r.waiting, late, time.Now())
		r.waiting = nil
	}
}
