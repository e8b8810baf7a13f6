package callqueue

import (
	"math"
	"slices"
	"time"
)

const (
	// MaxLength bounds the calls that wait for one service. Three targets with two slots each serve 300 calls of 20 ms in
	// a second, which is the order of callers' deadlines; what waits behind more is too late.
	MaxLength = 256
	// guaranteedShare is the part of its share of the demand that each kind gets of the calls released.
	guaranteedShare = 0.25
	// demandMemory is the time constant with which the demand of a kind is forgotten: half of the bursts' length of 8 s.
	demandMemory = 4 * time.Second
	// maxCredit bounds the releases that a kind can have in advance of its order after a time in which it got none.
	maxCredit = 2
	// negligible is the demand below which a kind without waiting calls is forgotten.
	negligible = 0.01
)

// Call is one waiting call. It must not change while it is in a queue.
type Call struct {
	// Priority is the kind of the call; 0 is the most urgent.
	Priority int
	// Cutoff is when an answer within the objective is due; Deadline is when the caller stops waiting.
	Cutoff, Deadline time.Time
	// Service is the time that the call needs at a target at least; Expected is the time within which nearly all such calls
	// are answered.
	Service, Expected time.Duration

	order uint64
}

// Expires returns when the call has too little time left to be served.
func (c *Call) Expires() time.Time { return c.Deadline.Add(-c.Service) }

// onTime reports whether the call meets its objective if it is sent now. With a shorter time than Expected, calls would
// be sent just too late one after the other as soon as the queue is as long as the objective.
func (c *Call) onTime(now time.Time) bool { return !now.Add(c.Expected).After(c.Cutoff) }

// before reports whether c is released before d: the more urgent first; of those, calls that can meet their objective by
// cutoff, then the others by deadline.
func (c *Call) before(d *Call, now time.Time) bool {
	if c.Priority != d.Priority {
		return c.Priority < d.Priority
	}
	onTime := c.onTime(now)
	if onTime != d.onTime(now) {
		return onTime
	}
	a, b := c.Deadline, d.Deadline
	if onTime {
		a, b = c.Cutoff, d.Cutoff
	}
	if !a.Equal(b) {
		return a.Before(b)
	}
	return c.order < d.order
}

// kind is what the queue knows of the calls of one priority.
type kind struct {
	priority int
	waiting  int
	// demand is the number of calls pushed a short while ago; older ones count less.
	demand float64
	// credit is the number of releases that the kind is owed.
	credit float64
}

// Queue holds the waiting calls of one service. Its zero value is empty. It is not safe for concurrent use.
type Queue struct {
	calls     []*Call
	kinds     []*kind
	pushed    uint64
	decayedAt time.Time
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return len(q.calls) }

// Push adds a call. It returns the call that is not waiting for that reason, or nil: the new one if it has too little time
// left, or the last one of the least urgent kind that can spare one if the queue is full.
func (q *Queue) Push(c *Call, now time.Time) *Call {
	q.decay(now)
	k := q.kind(c.Priority)
	k.demand++
	if !now.Before(c.Expires()) {
		return c
	}
	q.pushed++
	c.order = q.pushed
	q.calls = append(q.calls, c)
	k.waiting++
	if len(q.calls) <= MaxLength {
		return nil
	}
	last := q.lastToSpare(now)
	q.Remove(last)
	return last
}

// Pop removes and returns the call that is to be sent next, or nil if there is none with enough time left.
func (q *Queue) Pop(now time.Time) *Call {
	q.decay(now)
	total := q.totalDemand()
	var owed *kind
	for _, k := range q.kinds {
		if k.waiting == 0 {
			continue
		}
		k.credit = min(k.credit+guaranteedShare*k.demand/total, maxCredit)
		if k.credit >= 1 && (owed == nil || k.credit > owed.credit) {
			owed = k
		}
	}
	best := q.first(now, func(c *Call) bool { return owed != nil && c.Priority == owed.priority })
	if best == nil {
		best = q.first(now, func(*Call) bool { return true })
	}
	if best != nil {
		q.Remove(best)
		k := q.kind(best.Priority)
		k.credit = max(k.credit-1, 0)
	}
	return best
}

// Remove removes a call. It returns false if the call is not waiting.
func (q *Queue) Remove(c *Call) bool {
	i := slices.Index(q.calls, c)
	if i < 0 {
		return false
	}
	last := len(q.calls) - 1
	q.calls[i] = q.calls[last]
	q.calls[last] = nil
	q.calls = q.calls[:last]
	q.kind(c.Priority).waiting--
	return true
}

// first returns the first call in order that matches and has enough time left, or nil.
func (q *Queue) first(now time.Time, matches func(c *Call) bool) *Call {
	var best *Call
	for _, c := range q.calls {
		if matches(c) && now.Before(c.Expires()) && (best == nil || c.before(best, now)) {
			best = c
		}
	}
	return best
}

// lastToSpare returns the last call in order of the kinds that have more calls waiting than their guaranteed share of the
// queue.
func (q *Queue) lastToSpare(now time.Time) *Call {
	total := q.totalDemand()
	var last *Call
	for _, c := range q.calls {
		k := q.kind(c.Priority)
		if float64(k.waiting) > guaranteedShare*k.demand/total*MaxLength && (last == nil || last.before(c, now)) {
			last = c
		}
	}
	return last
}

func (q *Queue) kind(priority int) *kind {
	for _, k := range q.kinds {
		if k.priority == priority {
			return k
		}
	}
	k := &kind{priority: priority}
	q.kinds = append(q.kinds, k)
	return k
}

func (q *Queue) totalDemand() float64 {
	total := 0.0
	for _, k := range q.kinds {
		total += k.demand
	}
	return max(total, negligible)
}

// decay reduces the demand of all kinds by age and forgets kinds that have ended.
func (q *Queue) decay(now time.Time) {
	if age := now.Sub(q.decayedAt); age > 0 {
		weight := math.Exp(-float64(age) / float64(demandMemory))
		for _, k := range q.kinds {
			k.demand *= weight
		}
		q.decayedAt = now
	}
	q.kinds = slices.DeleteFunc(q.kinds, func(k *kind) bool { return k.waiting == 0 && k.demand < negligible })
}
