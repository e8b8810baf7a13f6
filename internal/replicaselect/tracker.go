package replicaselect

import (
	"sync"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
)

// Constants of a Tracker.
const (
	// DownFor is how long a target that could not be reached is deprioritized.
	DownFor = time.Second
	// ShedFor is how long a target that shed a sub-request is deprioritized.
	ShedFor = 100 * time.Millisecond
	// StaleAfter is how long a target's statistics are used after their latest update.
	StaleAfter = 5 * time.Second
	// LeftOutFor is how long a target that is leaving or holds off is left out without asking its relay again, which
	// alone knows for how long it applies.
	LeftOutFor = 500 * time.Millisecond
	// InitialServiceTime is the service time assumed for a target without statistics.
	InitialServiceTime = 5 * time.Millisecond

	waitWeight     = 0.2
	minServiceTime = 100 * time.Microsecond
	// occupancyPenalty raises the expected latency with each sub-request, so that among targets that are otherwise alike
	// the one with fewer sub-requests is preferred.
	occupancyPenalty = 0.1
)

// Stats holds the latest statistics of one target.
type Stats struct {
	// ServiceTime is the mean service time of the target as its relay reports it, InitialServiceTime before the first
	// reply.
	ServiceTime time.Duration
	// Queued is the number of sub-requests that the relay had waiting or in flight.
	Queued int
	// Outstanding is the number of this daemon's sub-requests in flight to the target.
	Outstanding int
	// Cold reports that the target was in cold start.
	Cold bool
	// WarmIncarnation is the incarnation that was last seen warm; empty for none.
	WarmIncarnation string
	DownUntil       time.Time
	// LeftOutUntil is until when the target is not selected, because it is leaving or holds off.
	LeftOutUntil time.Time
	// HoldUntil is the end of the target's hold; it is zero if the target has asked for none.
	HoldUntil time.Time
	UpdatedAt time.Time
}

// Expected returns the expected latency of a sub-request that is sent now: its service time and the wait for a slot.
func (s Stats) Expected(slots int) time.Duration {
	n := float64(max(slots, 1))
	ahead := float64(s.Queued + s.Outstanding)
	wait := max(0, ahead+1-n) / n
	return time.Duration(float64(s.ServiceTime) * (1 + wait + occupancyPenalty*ahead/n))
}

// Tracker holds the statistics of all targets; its zero value is empty.
type Tracker struct {
	mu    sync.Mutex
	stats map[string]*Stats
}

// Stats returns the statistics of a target. Stale ones are reset, except that a service time below InitialServiceTime
// is retained.
func (t *Tracker) Stats(target string, now time.Time) Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := *t.entry(target)
	if now.Sub(s.UpdatedAt) > StaleAfter {
		s.ServiceTime = min(s.ServiceTime, InitialServiceTime)
		s.Queued = 0
		s.Cold = false
		s.WarmIncarnation = ""
	}
	return s
}

// RecordSent counts a sub-request as in flight.
func (t *Tracker) RecordSent(target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(target).Outstanding++
}

// RecordEnded counts a sub-request as no longer in flight.
func (t *Tracker) RecordEnded(target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.entry(target)
	s.Outstanding = max(s.Outstanding-1, 0)
}

// RecordResult applies a result. It carries the relay's statistics of the target, which cover the requests of all
// daemons.
func (t *Tracker) RecordResult(r *peerpb.SubResult, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.entry(r.Target)
	s.UpdatedAt = now
	s.Queued = int(r.Queued)
	s.Cold = r.Cold
	if r.Status != peerpb.Status_DONE {
		return
	}
	s.DownUntil = time.Time{}
	if now.Before(s.HoldUntil) {
		s.LeftOutUntil, s.HoldUntil = time.Time{}, time.Time{}
	}
	s.ServiceTime = max(time.Duration(r.ServiceUs)*time.Microsecond, minServiceTime)
	s.WarmIncarnation = ""
	if !r.Cold {
		s.WarmIncarnation = r.Incarnation
	}
}

// RecordWait records that a sub-request has been waiting for the given time, and raises the target's service time
// towards it.
func (t *Tracker) RecordWait(target string, waited time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.entry(target)
	if waited > s.ServiceTime {
		s.ServiceTime += time.Duration(waitWeight * float64(waited-s.ServiceTime))
		s.UpdatedAt = now
	}
}

// MarkDown deprioritizes a target for DownFor; it no longer counts as seen warm.
func (t *Tracker) MarkDown(target string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.entry(target)
	s.DownUntil = now.Add(DownFor)
	s.WarmIncarnation = ""
}

// MarkShed deprioritizes a target for ShedFor.
func (t *Tracker) MarkShed(target string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry(target).DownUntil = now.Add(ShedFor)
}

// MarkLeaving leaves a target out for LeftOutFor.
func (t *Tracker) MarkLeaving(target string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.entry(target)
	s.LeftOutUntil, s.HoldUntil = now.Add(LeftOutFor), time.Time{}
}

// MarkHold leaves a target out until the end of its hold, but no longer than LeftOutFor.
func (t *Tracker) MarkHold(target string, wait time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.entry(target)
	s.LeftOutUntil, s.HoldUntil = now.Add(min(wait, LeftOutFor)), now.Add(wait)
}

func (t *Tracker) entry(target string) *Stats {
	s := t.stats[target]
	if s == nil {
		if t.stats == nil {
			t.stats = map[string]*Stats{}
		}
		s = &Stats{ServiceTime: InitialServiceTime}
		t.stats[target] = s
	}
	return s
}
