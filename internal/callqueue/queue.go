package callqueue

import (
	"cmp"
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

	order  uint64
	sendBy time.Time
}

// Expires returns when the call has too little time left to be served.
func (c *Call) Expires() time.Time { return c.Deadline.Add(-c.Service) }

// before reports whether c is released before d of the same kind: calls that meet their objective if they are sent now by
// cutoff, then the others by deadline. Those that can only just meet it do not count as such: with a shorter time than
// Expected, calls would be sent just too late one after the other once the queue is as long as the objective.
func (c *Call) before(d *Call, now time.Time) bool {
	onTime := !now.After(c.sendBy)
	if onTime == now.After(d.sendBy) {
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

// kind holds the calls of one priority.
type kind struct {
	priority int
	calls    []*Call
	// demand is the number of calls pushed a short while ago; older ones count less.
	demand float64
	// credit is the number of releases that the kind is owed.
	credit float64
}

// Queue holds the waiting calls of one service. Its zero value is empty. It is not safe for concurrent use.
type Queue struct {
	// kinds is ordered by priority.
	kinds     []*kind
	length    int
	pushed    uint64
	decayedAt time.Time
}

// Len returns the number of waiting calls.
func (q *Queue) Len() int { return q.length }

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
	c.order, c.sendBy = q.pushed, c.Cutoff.Add(-c.Expected)
	k.calls = append(k.calls, c)
	q.length++
	if q.length <= MaxLength {
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
		if len(k.calls) == 0 {
			continue
		}
		k.credit = min(k.credit+guaranteedShare*k.demand/total, maxCredit)
		if k.credit >= 1 && (owed == nil || k.credit > owed.credit) {
			owed = k
		}
	}
	if owed != nil {
		if c := owed.first(now); c != nil {
			return q.take(owed, c)
		}
	}
	for _, k := range q.kinds {
		if c := k.first(now); c != nil {
			return q.take(k, c)
		}
	}
	return nil
}

func (q *Queue) take(k *kind, c *Call) *Call {
	q.Remove(c)
	k.credit = max(k.credit-1, 0)
	return c
}

// Remove removes a call. It returns false if the call is not waiting.
func (q *Queue) Remove(c *Call) bool {
	k := q.kind(c.Priority)
	i := slices.Index(k.calls, c)
	if i < 0 {
		return false
	}
	last := len(k.calls) - 1
	k.calls[i], k.calls[last] = k.calls[last], nil
	k.calls = k.calls[:last]
	q.length--
	return true
}

// first returns the first call in order that has enough time left, or nil.
func (k *kind) first(now time.Time) *Call {
	var best *Call
	for _, c := range k.calls {
		if (best == nil || c.before(best, now)) && now.Before(c.Expires()) {
			best = c
		}
	}
	return best
}

// lastToSpare returns the last call in order of the least urgent kind that has more calls waiting than its guaranteed share
// of the queue.
func (q *Queue) lastToSpare(now time.Time) *Call {
	total := q.totalDemand()
	for _, k := range slices.Backward(q.kinds) {
		if float64(len(k.calls)) <= guaranteedShare*k.demand/total*MaxLength {
			continue
		}
		last := k.calls[0]
		for _, c := range k.calls {
			if last.before(c, now) {
				last = c
			}
		}
		return last
	}
	panic("callqueue: no kind has more than its guaranteed share of a full queue")
}

func (q *Queue) kind(priority int) *kind {
	i, found := slices.BinarySearchFunc(q.kinds, priority, func(k *kind, p int) int { return cmp.Compare(k.priority, p) })
	if !found {
		q.kinds = slices.Insert(q.kinds, i, &kind{priority: priority})
	}
	return q.kinds[i]
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
	q.kinds = slices.DeleteFunc(q.kinds, func(k *kind) bool { return len(k.calls) == 0 && k.demand < negligible })
}
