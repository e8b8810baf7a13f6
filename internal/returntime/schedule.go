package returntime

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// freedDecay is the time constant of the number of requests that were answered; overloads last for seconds.
	freedDecay = time.Second
	// minRate is the assumed rate, per second, at which requests of a service are answered if hardly any are.
	minRate = 2
	// maxShare is the share of its remaining time that a caller waits at most, so that it can return twice.
	maxShare = 1.0 / 3
	// idleTime is how long a service is remembered after its last answer or refusal.
	idleTime = 10 * time.Second
)

// Schedule spreads the returns of refused callers over time: one for each request of their service that is expected to be
// answered meanwhile, the urgent ones first. Its zero value is ready to use.
type Schedule struct {
	mu    sync.Mutex
	lines map[string]*line
}

// line is what a Schedule knows of one service.
type line struct {
	// freed is the number of requests answered lately, with older ones counting less; at freedAt.
	freed   float64
	freedAt time.Time
	usedAt  time.Time
	// booked holds, by priority, until when returns are booked.
	booked map[int]time.Time
}

// Refusal is the refusal of one request.
type Refusal struct {
	Service string
	// Priority is the priority of the request; 0 is the most urgent.
	Priority int
	// Wait is how long it takes at least until a request of the service can be served.
	Wait time.Duration
	// Remaining is how long the caller still waits for an answer.
	Remaining time.Duration
}

// RecordAnswer records that a request of a service was answered, and its place is free again.
func (s *Schedule) RecordAnswer(service string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.line(service, now)
	l.freed, l.freedAt = l.rate(now)+1, now
}

// Return books the return of a refused caller and returns how long it should wait: at most a third of its remaining time.
func (s *Schedule) Return(r Refusal, now time.Time) time.Duration {
	limit := time.Duration(maxShare * float64(r.Remaining))
	if limit <= 0 {
		return 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.line(r.Service, now)
	interval := time.Duration(float64(time.Second) / max(l.rate(now), minRate))
	at := now.Add(r.Wait)
	for priority, until := range l.booked {
		if priority <= r.Priority && until.After(at) {
			at = until
		}
	}
	if at.Sub(now) >= limit {
		// No place becomes free in time. The caller returns late in the time that it has, because an estimate may be wrong.
		return limit - time.Duration(rand.Float64()*float64(limit)/2)
	}
	l.book(r.Priority, at.Add(interval), interval)
	// Other daemons book returns too. The random share keeps the first ones of all daemons apart.
	return min(at.Sub(now)+time.Duration(rand.Float64()*float64(interval)), limit)
}

// book sets until when returns of a priority are booked, and moves those of less urgent ones back.
func (l *line) book(priority int, until time.Time, interval time.Duration) {
	for p, booked := range l.booked {
		if p > priority {
			l.booked[p] = booked.Add(interval)
		}
	}
	l.booked[priority] = until
}

// rate returns the number of requests that are answered in a second.
func (l *line) rate(now time.Time) float64 {
	return l.freed * math.Exp(-float64(now.Sub(l.freedAt))/float64(freedDecay))
}

// line returns what is known of a service. The caller must hold mu.
func (s *Schedule) line(service string, now time.Time) *line {
	l := s.lines[service]
	if l == nil {
		for name, other := range s.lines {
			if now.Sub(other.usedAt) >= idleTime {
				delete(s.lines, name)
			}
		}
		if s.lines == nil {
			s.lines = map[string]*line{}
		}
		l = &line{booked: map[int]time.Time{}}
		s.lines[service] = l
	}
	l.usedAt = now
	return l
}
