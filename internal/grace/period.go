package grace

import (
	"context"
	"errors"
	"sync"
	"time"
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

var errAnswerDue = errors.New("the daemon is about to exit")

// AnswerDue reports whether a context of [Period.Bind] is done because the request must have its answer, and not
// because the caller is gone.
func AnswerDue(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errAnswerDue) }

// Period is the grace period of a daemon. Its zero value has not begun. All methods are safe for concurrent use.
type Period struct {
	once sync.Once
	// answersDue is done when every request must have its answer.
	answersDue context.Context
	cancel     context.CancelCauseFunc

	mu     sync.Mutex
	begun  bool
	start  time.Time
	length time.Duration
}

// Begin starts the period at the given time, which is when the signal to stop arrived. Further calls do nothing.
func (p *Period) Begin(start time.Time, length time.Duration) {
	p.init()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.begun {
		return
	}
	p.begun, p.start, p.length = true, start, length
	time.AfterFunc(time.Until(p.at(answerShare)), func() { p.cancel(errAnswerDue) })
}

// Begun reports whether the daemon was told to stop.
func (p *Period) Begun() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.begun
}

// Admit returns when a request that would have the given deadline must be answered. It reports false if the request
// must be refused: the daemon is stopping, takes requests no longer as usual, and may not live until the deadline.
func (p *Period) Admit(now, deadline time.Time) (time.Time, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.begun {
		return deadline, true
	}
	answerBy := p.at(answerShare)
	if !deadline.After(answerBy) {
		return deadline, true
	}
	return answerBy, now.Before(p.at(takeShare))
}

// Bind returns a copy of the context that is also done when the request must have its answer, as AnswerDue tells. The
// returned function releases it.
func (p *Period) Bind(ctx context.Context) (context.Context, func()) {
	p.init()
	bound, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(p.answersDue, func() { cancel(context.Cause(p.answersDue)) })
	return bound, func() {
		stop()
		cancel(context.Canceled)
	}
}

// CloseAt returns when the daemon stops accepting connections.
func (p *Period) CloseAt() time.Time { return p.when(closeShare) }

// AbandonAt returns when requests that have not arrived completely are given up.
func (p *Period) AbandonAt() time.Time { return p.when(abandonShare) }

// ExitAt returns when the daemon exits.
func (p *Period) ExitAt() time.Time { return p.when(exitShare) }

func (p *Period) init() {
	p.once.Do(func() { p.answersDue, p.cancel = context.WithCancelCause(context.Background()) })
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
