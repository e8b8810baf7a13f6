package targetselect

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcapacity"
)

const (
	// HedgeDelayFactor is the multiple of the typical latency after which a call counts as stalled and is hedged. With
	// service times that vary by a third, about 1 in 20 calls takes longer.
	HedgeDelayFactor = 1.8
	// refusalBackoff is how long a target that refused a call is avoided: about the time after which one of its slots
	// is freed.
	refusalBackoff = 15 * time.Millisecond
	// unreachableBackoff is how long a target that did not accept a connection is avoided: two heartbeats, by when
	// the platform has published its end or its new start.
	unreachableBackoff = 2500 * time.Millisecond
	// A cancelled call marks its target unresponsive after the longer of two times: unresponsiveAfter, which exceeds
	// a target's pause of 250 ms, and unresponsiveFactor times the hedge delay, for routes whose calls take long
	// anyway.
	unresponsiveAfter  = 300 * time.Millisecond
	unresponsiveFactor = 4
	// minEjection and maxEjection bound how long an unresponsive target is ejected before it is tried again. The
	// ejection time doubles with each consecutive unanswered call; after maxDoublings it has reached maxEjection.
	minEjection  = 250 * time.Millisecond
	maxEjection  = 2 * time.Second
	maxDoublings = 3
	// failurePenalty is the expected delay per recent failure, in multiples of the route's typical latency.
	failurePenalty = 3
	// hintPenalty is the expected delay, in multiples of the route's typical latency, when exactly one peer reports a
	// stall: more than half of such calls are merely long.
	hintPenalty = 0.5
	// remotePenalty is the expected delay, in multiples of the route's typical latency, that is added for a target in
	// another availability zone: traffic between zones is expensive, and objectives leave room for a call that takes
	// three times the typical latency.
	remotePenalty = 2
	// jitter is the maximum random share added to an expectation, so that daemons do not all choose the same target.
	jitter = 0.15
	// defaultSlots is assumed for a target that does not publish its number of slots.
	defaultSlots = targetcapacity.DefaultSlots
)

// Class identifies calls with the same expected latency and carries the objective of their route.
type Class struct {
	Name      string
	Objective time.Duration
}

// Selector records how targets answer and selects among them. Its zero value has no records and is ready to use.
type Selector struct {
	// AvailabilityZone is the daemon's own zone; targets in other zones are expected to answer later.
	AvailabilityZone string
	// LearnCapacity makes expectations use the learned capacity of targets instead of their published slots, and leaves
	// targets at their learned limit out of the candidates while there are others. It must not change after the first use.
	LearnCapacity bool
	// CountsCancelled reports whether late calls to a service that were cancelled count as samples of their targets' latency. It
	// is optional; without it they do not.
	CountsCancelled func(service string) bool

	mu      sync.Mutex
	records map[string]*record
	typical map[string]*latencyMedian
}

// Selection is a selected target and the expected latency of a call to it.
type Selection struct {
	Target   inventory.Target
	Expected time.Duration
	// Full is set if the target is at its learned limit.
	Full bool
}

// Pick returns the candidate that is expected to answer soonest; false when there is none.
func (s *Selector) Pick(c Class, candidates []inventory.Target, now time.Time) (Selection, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	best, bestCost := -1, 0.0
	var expected time.Duration
	for i, t := range candidates {
		e := s.expect(c, t, now)
		cost := float64(e) * (1 + jitter*rand.Float64())
		if best < 0 || cost < bestCost {
			best, bestCost, expected = i, cost, e
		}
	}
	if best < 0 {
		return Selection{}, false
	}
	target := candidates[best]
	return Selection{Target: target, Expected: expected, Full: s.full(target, now)}, true
}

// TypicalLatency returns the typical latency of a class: its running median.
func (s *Selector) TypicalLatency(c Class) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.medianFor(c).median
}

// Ejected reports whether a target is ejected: it recently did not accept a connection, left calls unanswered, or is
// gone.
func (s *Selector) Ejected(t inventory.Target, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.available(t, now)
}

// Candidates returns the targets that are neither ejected nor at their learned limit or, if there are none, those that
// are not ejected or, if there are none, those that may become available again. The result may alias the argument.
func (s *Selector) Candidates(targets []inventory.Target, now time.Time) []inventory.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	if lo.EveryBy(targets, func(t inventory.Target) bool { return s.available(t, now) && !s.full(t, now) }) {
		return targets
	}
	available := lo.Filter(targets, func(t inventory.Target, _ int) bool { return s.available(t, now) })
	if len(available) == 0 {
		return lo.Reject(targets, func(t inventory.Target, _ int) bool { return s.record(t).gone })
	}
	if !s.LearnCapacity {
		return available
	}
	free := lo.Reject(available, func(t inventory.Target, _ int) bool { return s.full(t, now) })
	if len(free) > 0 {
		return free
	}
	return available
}

// Room is how many more calls some targets can take.
type Room struct {
	// Open is set if there are any targets that may receive work, Ejected if all of them are ejected.
	Open, Ejected bool
	// Calls is the number of calls until all targets are at their learned limits.
	Calls int
	// At is when Calls rises from 0 if no call ends; zero if a call of this daemon has to end first.
	At time.Time
	// Slots is the number of slots of the targets.
	Slots int
}

// Room returns how many more calls the targets can take. Targets that keep refusing calls count only if there are no others,
// and ejected ones only if there are none of these either. A call that is cancelled late ejects its target, which must not
// release all the calls that wait for it.
func (s *Selector) Room(targets []inventory.Target, now time.Time) Room {
	s.mu.Lock()
	defer s.mu.Unlock()
	var room, avoided, ejected Room
	var changes time.Time
	for _, t := range targets {
		r := s.record(t)
		until, isAvoided := r.capacity.Avoided(now)
		switch {
		case r.gone:
		case !s.available(t, now):
			ejected.add(r, now)
			changes = earlier(changes, r.ejectedUntil)
		case isAvoided:
			avoided.add(r, now)
			changes = earlier(changes, until)
		default:
			room.add(r, now)
		}
	}
	if !room.Open {
		room = avoided
	}
	if !room.Open {
		room = ejected
		room.Ejected = room.Open
	}
	room.At = earlier(room.At, changes)
	return room
}

func (m *Room) add(r *record, now time.Time) {
	calls, at := r.capacity.Room(r.oldestLate(now), now)
	m.Open = true
	m.Calls += calls
	m.Slots += r.capacity.Slots()
	m.At = earlier(m.At, at)
}

// earlier returns the earlier of two times; zero stands for never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// ServiceTime returns the time that a call takes at the fastest of the targets, without waiting; it is at most the typical
// latency, which includes waiting.
func (s *Selector) ServiceTime(c Class, targets []inventory.Target, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	least := 1.0
	for _, t := range targets {
		least = min(least, s.record(t).capacity.Slowness(now))
	}
	return time.Duration(least * float64(s.medianFor(c).median))
}

// full reports whether a target has reached its learned limit. A target of which nothing is known has not.
func (s *Selector) full(t inventory.Target, now time.Time) bool {
	if !s.LearnCapacity {
		return false
	}
	r := s.records[t.ID]
	return r != nil && r.matches(t) && r.full(now)
}

func (s *Selector) available(t inventory.Target, now time.Time) bool {
	r := s.records[t.ID]
	return r == nil || !r.matches(t) || !r.gone && !now.Before(r.ejectedUntil)
}

// medianFor returns the running median of a class; a new class starts with an estimate from its objective.
func (s *Selector) medianFor(c Class) *latencyMedian {
	m := s.typical[c.Name]
	if m == nil {
		if s.typical == nil {
			s.typical = map[string]*latencyMedian{}
		}
		m = newLatencyMedian(c.Objective)
		s.typical[c.Name] = m
	}
	return m
}

func (s *Selector) record(t inventory.Target) *record {
	r := s.records[t.ID]
	if r == nil || !r.matches(t) {
		if s.records == nil {
			s.records = map[string]*record{}
		}
		r = &record{address: t.Address, startMillis: t.StartMillis, calls: map[*PendingCall]struct{}{}}
		s.records[t.ID] = r
	}
	r.slots = t.Slots
	if r.slots <= 0 {
		r.slots = defaultSlots
	}
	r.capacity.SetPublishedSlots(t.Slots)
	return r
}

// expect returns the expected latency of a call that starts now.
func (s *Selector) expect(c Class, t inventory.Target, now time.Time) time.Duration {
	typical := float64(s.medianFor(c).median)
	r := s.record(t)
	var e float64
	if s.LearnCapacity {
		e = typical * r.capacity.Slowness(now) * (1 + r.capacity.InFlight(now)/float64(r.capacity.Slots()))
	} else {
		e = typical * r.slowness(now) * (1 + r.queue(now)/float64(r.slots))
	}
	e += typical * failurePenalty * r.recentFailures(now)
	e += float64(r.oldestLate(now))
	switch n := r.hintCount(now); {
	case n > 1:
		e += float64(hintTTL)
	case n == 1:
		e += typical * hintPenalty
	}
	if t.AvailabilityZone != s.AvailabilityZone {
		e += typical * remotePenalty
	}
	for _, until := range []time.Time{r.refusedUntil, r.ejectedUntil} {
		if wait := until.Sub(now); wait > 0 {
			e += float64(wait)
		}
	}
	return time.Duration(e)
}

// Begin records the start of a call.
func (s *Selector) Begin(c Class, t inventory.Target, now time.Time) *PendingCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record(t)
	p := &PendingCall{selector: s, record: r, class: c, service: t.Service, started: now}
	p.queueAhead = r.queue(now) / float64(r.slots)
	median := s.medianFor(c).median
	p.hedgeDelay = time.Duration(HedgeDelayFactor * float64(median))
	if s.LearnCapacity {
		p.capacityStart = r.capacity.Begin(median, c.Objective, now)
	}
	r.calls[p] = struct{}{}
	return p
}

// RecordStallHint records a peer's hint that a target is stalled.
func (s *Selector) RecordStallHint(t inventory.Target, peer string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record(t).addHint(peer, now)
}

// Retain removes the records of targets that are not known any more and have no call in flight.
func (s *Selector) Retain(known func(target string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, r := range s.records {
		if !known(id) && len(r.calls) == 0 {
			delete(s.records, id)
		}
	}
}

// Capacity sums up what is learned of some targets.
type Capacity struct {
	// Limit is the sum of their learned limits; InFlight that of the calls that they are expected to have.
	Limit, InFlight float64
	// Full is the number of targets at their limits.
	Full int
}

// Capacity returns what is learned of the targets that have got calls; it is zero if the selector learns no capacity.
func (s *Selector) Capacity(now time.Time) Capacity {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sum Capacity
	if !s.LearnCapacity {
		return sum
	}
	for _, r := range s.records {
		late := r.oldestLate(now)
		sum.Limit += r.capacity.Limit(late, now)
		sum.InFlight += r.capacity.InFlight(now)
		if r.capacity.Full(late, now) {
			sum.Full++
		}
	}
	return sum
}

// PendingCall is one call in flight.
type PendingCall struct {
	selector   *Selector
	record     *record
	class      Class
	service    string
	started    time.Time
	queueAhead float64
	hedgeDelay time.Duration
	// capacityStart is set if the selector learns capacity.
	capacityStart targetcapacity.Started
}

// HedgeDelay returns how long the call may take before its target counts as stalled and the call is hedged.
func (p *PendingCall) HedgeDelay() time.Duration { return p.hedgeDelay }

// End records the result of the call; cancelled says that the daemon itself cancelled it.
func (p *PendingCall) End(result targetcall.Result, cancelled bool, now time.Time) {
	p.selector.mu.Lock()
	defer p.selector.mu.Unlock()
	delete(p.record.calls, p)
	if p.selector.LearnCapacity {
		p.learn(result, cancelled, now)
	}
	if cancelled {
		p.addCancelled(now)
		p.ejectUnresponsive(now)
		return
	}
	switch x := result.(type) {
	case targetcall.Answered:
		p.answered(x, now)
	case targetcall.Refused:
		p.record.gone = p.record.gone || x.OtherIncarnation
		p.record.refusedUntil = now.Add(refusalBackoff)
		p.recordLoad(x.Load, now)
	case targetcall.NotSent:
		if x.Unreachable {
			p.record.ejectedUntil = now.Add(unreachableBackoff)
		}
	case targetcall.Unknown:
		p.record.addFailure(now)
	}
}

// learn records the end of the call in the target's capacity.
func (p *PendingCall) learn(result targetcall.Result, cancelled bool, now time.Time) {
	c := &p.record.capacity
	c.End()
	if cancelled {
		c.Cancelled(p.capacityStart, now)
		return
	}
	switch x := result.(type) {
	case targetcall.Answered:
		c.Reported(x.Load, true, now)
		if x.Final() {
			c.Answered(p.capacityStart, now)
		}
	case targetcall.Refused:
		if !x.OtherIncarnation && !x.Leaving {
			c.Refused(x.Load, now)
		}
	case targetcall.NotSent, targetcall.Unknown:
	}
}

func (p *PendingCall) answered(a targetcall.Answered, now time.Time) {
	p.recordLoad(a.Load, now)
	if !a.Final() {
		p.record.addFailure(now)
		return
	}
	p.record.hints = nil
	p.record.unanswered = 0
	took := now.Sub(p.started)
	m := p.selector.medianFor(p.class)
	p.record.addRatio(float64(took)/(float64(m.median)*(1+p.queueAhead)), p.started, now)
	m.add(took)
}

// ejectUnresponsive ejects a target that left a call unanswered for longer than a pause lasts, each consecutive time
// for longer.
func (p *PendingCall) ejectUnresponsive(now time.Time) {
	if now.Sub(p.started) < max(unresponsiveAfter, unresponsiveFactor*p.hedgeDelay) {
		return
	}
	ejection := min(minEjection<<p.record.unanswered, maxEjection)
	p.record.unanswered = min(p.record.unanswered+1, maxDoublings)
	p.record.ejectedUntil = now.Add(ejection)
}

func (p *PendingCall) recordLoad(l targetcall.Load, now time.Time) {
	if l.Known {
		p.record.load = l
		p.record.loadAt = now
	}
}
