package grace

import (
	"context"
	"sync"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/stoplimit"
)

// Times of a stop as shares of the grace period, which begins with the signal to stop and ends with SIGKILL.
const (
	// takeShare is the share during which requests are taken as usual. The load balancer detects unreadiness after two
	// failed checks, one per second.
	takeShare = 0.5
	// closeShare is the share after which no more connections are accepted. Where few daemons of a zone are left, the
	// load balancer may send connections until then.
	closeShare = 0.62
	// answerShare is the share after which every request must have its answer.
	answerShare = 0.85
	// abandonShare is the share after which requests that have not arrived completely are given up.
	abandonShare = 0.875
	// exitShare is the share after which the daemon exits and cuts what is left, as SIGKILL would. The rest is for the
	// other interfaces and the last log lines.
	exitShare = 0.95
)

// Period is the grace period of a daemon. Its zero value has not begun. All methods are safe for concurrent use.
type Period struct {
	limit stoplimit.Limit

	mu     sync.Mutex
	begun  bool
	start  time.Time
	length time.Duration
	// late is how long after the start the signal was handled.
	late time.Duration
}

// Begin starts the period at the given time, at which the signal to stop may have arrived at the earliest. It was handled
// late by the given time: answers count from the earliest arrival, and the exit, which cuts what has no answer, from the
// latest. Further calls do nothing.
func (p *Period) Begin(start time.Time, late, length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.begun {
		return
	}
	p.begun, p.start, p.late, p.length = true, start, late, length
	p.limit.Set(p.at(takeShare), p.at(answerShare))
}

// Admit returns when a request that would have the given deadline must be answered. It reports false if the request
// must be refused: the daemon is stopping, takes requests no longer as usual, and may not live until the deadline.
func (p *Period) Admit(now, deadline time.Time) (time.Time, bool) {
	return p.limit.Bound(deadline), p.limit.Accepts(now, deadline.Sub(now))
}

// Bind returns a copy of the context that is also done when the request must have its answer, as [stoplimit.Reached]
// tells. The returned function releases it.
func (p *Period) Bind(ctx context.Context) (context.Context, func()) {
	return p.limit.Context(ctx)
}

// CloseAt returns when the daemon stops accepting connections.
func (p *Period) CloseAt() time.Time { return p.when(closeShare) }

// AbandonAt returns when requests that have not arrived completely are given up.
func (p *Period) AbandonAt() time.Time { return p.when(abandonShare) }

// ExitAt returns when the daemon exits.
func (p *Period) ExitAt() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.at(exitShare).Add(p.late)
}

func (p *Period) when(share float64) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.at(share)
}

// at returns the time after the given share of the period. The caller must hold mu.
func (p *Period) at(share float64) time.Time {
	return p.start.Add(time.Duration(share * float64(p.length)))
}
