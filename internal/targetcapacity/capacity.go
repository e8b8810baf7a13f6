package targetcapacity

import (
	"math"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

const (
	// DefaultSlots is assumed for a target that neither publishes nor reports its number of slots.
	DefaultSlots = 2
	// longestPause is the longest pause of a healthy target. A call that is late by more shows a slow target.
	longestPause = 250 * time.Millisecond
	// waitShare is the share of the objective that a call may spend in a target's queue. The rest of the objective is for
	// the service time and for the wait in the daemon, where calls are ordered by priority.
	waitShare = 0.25
	// samples is the number of ratios whose median is the slowness; with three, one pause or one long call does not
	// change it, and two late rounds of calls do.
	samples = 3
	// minRatio and maxRatio bound a single ratio. Slow phases multiply service times by 5 to 11.
	minRatio, maxRatio = 0.1, 20
	// trustedFor is how long a slowness counts in full without a new answer; then it decays with forgetTime, so that
	// another call finds out about a recovery within a few seconds. Slow phases last 6 to 8 s, so that two or three
	// calls of a phase meet a slow target for this reason.
	trustedFor = 500 * time.Millisecond
	forgetTime = time.Second
	// paceTrust is the time constant with which a reported pace is forgotten; neighbours slow a machine for 600 ms.
	paceTrust = 300 * time.Millisecond
	// paceWeight is the weight of a report in the average pace, which changes within the time of a call.
	paceWeight = 0.5
	// serviceWeight is the weight of a call in the average service time of the target's calls.
	serviceWeight = 0.125
	// othersTTL is the longest time for which a report of other daemons' calls holds a target back. A target that has got
	// no call of this daemon for longer may be free again.
	othersTTL = 250 * time.Millisecond
	// othersWeight is the weight of a report in the usual number of other daemons' calls. As many as usual are taken to
	// arrive while those of the last report end.
	othersWeight = 0.25
	// minBackoff and maxBackoff bound the time for which a target is at its limit after a refusal.
	minBackoff, maxBackoff = 5 * time.Millisecond, 250 * time.Millisecond
	// A target that refuses one call after the other is avoided for minAvoidance, twice as long each time and for
	// maxAvoidance at most, while other targets have room: other daemons keep it full, and a call now and then finds out
	// when they stop.
	minAvoidance, maxAvoidance = 125 * time.Millisecond, 2 * time.Second
	// ceilingGrowth is the growth per second of the ceiling that a refusal leaves, in multiples of the slots: a queue of 12
	// that is refused at half of its length is used again within three seconds.
	ceilingGrowth = 2
	// objectivePeriod is how long an objective counts after its last call, at least.
	objectivePeriod = 5 * time.Second
)

// Capacity is what one daemon has learned of one incarnation of a target. Its zero value knows nothing: it takes the
// target for one of usual speed. It is not safe for concurrent use.
type Capacity struct {
	published, reported int
	own                 int

	// ratios are the latest ratios of latency to expected latency at the usual pace; count is how many there are.
	ratios [samples]float64
	count  int
	// sampledAt is when the first call that counts towards the latest ratio ended; answeredAt is when the last call ended.
	sampledAt, answeredAt time.Time

	pace   float64
	paceAt time.Time

	// service is the average of the typical service times of the calls, in nanoseconds.
	service float64
	// objective and nextObjective are the least objectives of the calls since the start of the previous period and since
	// periodAt, the start of this one.
	objective, nextObjective time.Duration
	periodAt                 time.Time

	// others is the number of other daemons' calls at the time othersAt.
	others   float64
	othersAt time.Time
	// usualOthers is the average of the reported numbers.
	usualOthers float64

	// ceiling is the limit that the last refusal left at the time ceilingAt; it is 0 if there was none.
	ceiling      float64
	ceilingAt    time.Time
	refusedUntil time.Time
	// avoidance is how long the target is avoided after its last refusal, and avoidedUntil when that ends. An answer ends it.
	avoidance    time.Duration
	avoidedUntil time.Time
}

// Started is what was known of a call when it started.
type Started struct {
	At time.Time
	// Typical is the typical latency of calls of its kind.
	Typical time.Duration
	// Ahead is the number of calls, per slot, that had to end before a slot was free for it.
	Ahead float64
}

// SetPublishedSlots records the number of slots that the platform publishes for the target; 0 if it does not.
func (c *Capacity) SetPublishedSlots(n int) { c.published = n }

// Slots returns the number of slots: the reported one, or else the published one.
func (c *Capacity) Slots() int {
	switch {
	case c.reported > 0:
		return c.reported
	case c.published > 0:
		return c.published
	default:
		return DefaultSlots
	}
}

// Begin records the start of a call with the typical latency and the objective of its kind.
func (c *Capacity) Begin(typical, objective time.Duration, now time.Time) Started {
	slots := float64(c.Slots())
	s := Started{At: now, Typical: typical, Ahead: max(c.InFlight(now)+1-slots, 0) / slots}
	c.own++
	if c.service == 0 {
		c.service = float64(typical)
	}
	c.service += serviceWeight * (float64(typical) - c.service)
	if now.Sub(c.periodAt) >= objectivePeriod {
		c.objective, c.nextObjective, c.periodAt = c.nextObjective, 0, now
	}
	c.nextObjective = least(c.nextObjective, objective)
	c.objective = least(c.objective, c.nextObjective)
	return s
}

func least(a, b time.Duration) time.Duration {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// End records that a call is not in flight any more.
func (c *Capacity) End() { c.own-- }

// Answered records the time that a call took. Calls that one pause delayed end together and count as one sample.
func (c *Capacity) Answered(s Started, now time.Time) {
	c.avoidance, c.avoidedUntil = 0, time.Time{}
	c.add(s, c.ratio(s, now), now)
}

// Cancelled records the time after which this daemon cancelled a call. If that is longer than a pause, it counts like
// an answer that took that long: all calls to a slow target may be hedged and cancelled.
func (c *Capacity) Cancelled(s Started, now time.Time) {
	if now.Sub(s.At) <= longestPause {
		return
	}
	if ratio := c.ratio(s, now); ratio > 1 {
		c.add(s, ratio, now)
	}
}

// ratio returns the ratio of the time that a call took to what was expected of it at the usual pace.
func (c *Capacity) ratio(s Started, now time.Time) float64 {
	ratio := float64(now.Sub(s.At)) / (float64(s.Typical) * (1 + s.Ahead) * c.currentPace(now))
	return min(max(ratio, minRatio), maxRatio)
}

func (c *Capacity) add(s Started, ratio float64, now time.Time) {
	c.answeredAt = now
	if c.count > 0 && s.At.Before(c.sampledAt) {
		c.ratios[(c.count-1)%samples] = ratio
		return
	}
	c.sampledAt = now
	c.ratios[c.count%samples] = ratio
	c.count++
	if c.count == 2*samples {
		c.count = samples
	}
}

// Reported records a load report. It must follow the End of the call whose answer carried the report; answered is set
// if the report counts that call as running.
func (c *Capacity) Reported(l targetcall.Load, answered bool, now time.Time) {
	if !l.Known {
		return
	}
	c.reported = l.Slots
	total := l.Running + l.Waiting
	if answered {
		total--
	}
	c.others, c.othersAt = float64(max(total-c.own, 0)), now
	c.usualOthers += othersWeight * (c.others - c.usualOthers)
	if l.Pace > 0 {
		report := min(max(l.Pace, minRatio), maxRatio)
		c.pace, c.paceAt = c.currentPace(now)+paceWeight*(report-c.currentPace(now)), now
	}
}

// Refused records that the target refused a call because it was full: the limit falls below the calls that it had, and
// the target is at its limit for about as long as one of its slots takes to become free.
func (c *Capacity) Refused(l targetcall.Load, now time.Time) {
	limit := c.limit(now)
	c.Reported(l, false, now)
	full := float64(c.own) + c.others
	if !l.Known {
		full = float64(c.own + 1)
	}
	c.ceiling, c.ceilingAt = max(min(limit, full)-1, float64(c.Slots())), now
	backoff := time.Duration(c.slotTime(now))
	c.refusedUntil = now.Add(min(max(backoff, minBackoff), maxBackoff))
	c.avoidedUntil = now.Add(c.avoidance)
	c.avoidance = min(max(2*c.avoidance, minAvoidance), maxAvoidance)
}

// Slowness returns the ratio of the target's service times to the typical ones.
func (c *Capacity) Slowness(now time.Time) float64 {
	slowness := 1.0
	if c.count > 0 {
		slowness += (c.median() - 1) * forget(now.Sub(c.answeredAt)-trustedFor, forgetTime)
	}
	return slowness * c.currentPace(now)
}

func (c *Capacity) median() float64 {
	a, b, d := c.ratios[0], c.ratios[1], c.ratios[2]
	switch c.count {
	case 1:
		return a
	case 2:
		return max(a, b)
	default:
		return max(min(a, b), min(max(a, b), d))
	}
}

func (c *Capacity) currentPace(now time.Time) float64 {
	if c.pace == 0 {
		return 1
	}
	return 1 + (c.pace-1)*forget(now.Sub(c.paceAt), paceTrust)
}

// forget returns the weight, 0 to 1, of what is known since the given time.
func forget(age, timeConstant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(timeConstant))
}

// slotTime returns the expected time, in nanoseconds, until one of the target's busy slots becomes free.
func (c *Capacity) slotTime(now time.Time) float64 {
	return c.service * c.Slowness(now) / float64(c.Slots())
}

// InFlight returns the expected number of calls that the target has from all daemons.
func (c *Capacity) InFlight(now time.Time) float64 {
	return float64(c.own) + c.othersNow(now)
}

// othersNow returns the number of other daemons' calls; those of the last report end one by one.
func (c *Capacity) othersNow(now time.Time) float64 {
	if c.others == 0 {
		return 0
	}
	age := now.Sub(c.othersAt)
	if age >= othersTTL {
		c.others = 0
		return 0
	}
	if age <= 0 {
		return c.others
	}
	return max(c.others-float64(age)/max(c.slotTime(now), 1), min(c.usualOthers, c.others))
}

// Limit returns the number of calls in flight that the target handles well; late is the age of its oldest call that is
// late. It is never below the number of slots.
func (c *Capacity) Limit(late time.Duration, now time.Time) float64 {
	if late > longestPause {
		return float64(c.Slots())
	}
	return c.limit(now)
}

// limit is the number of calls with which the queue at the target costs a new call waitShare of the objective.
func (c *Capacity) limit(now time.Time) float64 {
	slots := float64(c.Slots())
	limit := slots
	if slotTime := c.slotTime(now); slotTime > 0 {
		limit += waitShare * float64(c.objective) / slotTime
	}
	if c.ceiling > 0 {
		ceiling := c.ceiling + ceilingGrowth*slots*now.Sub(c.ceilingAt).Seconds()
		if ceiling > limit {
			c.ceiling = 0
		}
		limit = max(min(limit, ceiling), slots)
	}
	return limit
}

// Full reports whether the target is at its limit, or is avoided while others have room; late is as for Limit.
func (c *Capacity) Full(late time.Duration, now time.Time) bool {
	if now.Before(c.refusedUntil) || now.Before(c.avoidedUntil) {
		return true
	}
	// Most calls of a calm day end here.
	if c.own < c.Slots() && c.others == 0 {
		return false
	}
	return c.InFlight(now)+1 > c.Limit(late, now)
}

// Avoided returns until when the target gets no calls while others have room, or will have it, because it has refused
// several calls one after the other; false if it is not avoided.
func (c *Capacity) Avoided(now time.Time) (time.Time, bool) {
	return c.avoidedUntil, now.Before(c.avoidedUntil)
}

// Room returns the number of calls that the target can take before it is at its limit, although it may be avoided. If it can take none, it returns
// the time after which it can if nothing else happens; the time is zero if a call of this daemon has to end first.
func (c *Capacity) Room(late time.Duration, now time.Time) (int, time.Time) {
	limit := c.Limit(late, now)
	refused := now.Before(c.refusedUntil)
	if !refused {
		if room := int(limit - c.InFlight(now)); room > 0 {
			return room, time.Time{}
		}
	}
	free := limit - float64(c.own) - 1
	if free < 0 {
		return 0, time.Time{}
	}
	at := c.refusedUntil
	if excess := c.others - free; excess > 0 {
		drained := c.othersAt.Add(othersTTL)
		if c.usualOthers <= free {
			drained = c.othersAt.Add(min(time.Duration(excess*c.slotTime(now))+1, othersTTL))
		}
		if drained.After(at) {
			at = drained
		}
	}
	if !at.After(now) {
		at = now.Add(minBackoff)
	}
	return 0, at
}
