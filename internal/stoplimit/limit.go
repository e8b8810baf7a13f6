package stoplimit

import (
	"context"
	"errors"
	"sync"
	"time"
)

var errReleased = errors.New("released")

// limitKey is the key under which a context of [Limit.Context] holds its limit.
type limitKey struct{}

// Reached reports whether a context of [Limit.Context] that is done, or about to be, ends because all requests are to be
// answered. A stopping server also ends its requests' contexts then, and either may be noticed first.
func Reached(ctx context.Context) bool {
	l, ok := ctx.Value(limitKey{}).(*Limit)
	return ok && l.IsReached() && !errors.Is(context.Cause(ctx), errReleased)
}

// Limit is the time by which a stopping daemon answers every request; its zero value bounds nothing.
type Limit struct {
	mu          sync.Mutex
	acceptUntil time.Time
	answerBy    time.Time
	base        context.Context
	reach       context.CancelFunc
}

// Set starts the stop: until acceptUntil every request is accepted, and at answerBy all are answered. Only the first call
// has an effect.
func (l *Limit) Set(acceptUntil, answerBy time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.answerBy.IsZero() {
		return
	}
	l.acceptUntil, l.answerBy = acceptUntil, answerBy
	l.init()
	time.AfterFunc(time.Until(answerBy), l.reach)
}

// Accepts reports whether a request may start now whose caller waits for the given time.
func (l *Limit) Accepts(now time.Time, wait time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.answerBy.IsZero() || now.Before(l.acceptUntil) || !now.Add(wait).After(l.answerBy)
}

// Bound returns the deadline, or the time at which all requests are answered if that is earlier.
func (l *Limit) Bound(deadline time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answerBy.IsZero() || deadline.Before(l.answerBy) {
		return deadline
	}
	return l.answerBy
}

// Reached returns a channel that is closed when all requests are to be answered.
func (l *Limit) Reached() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	return l.base.Done()
}

// IsReached reports whether the time at which all requests are answered has come.
func (l *Limit) IsReached() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.answerBy.IsZero() && !time.Now().Before(l.answerBy)
}

// Context returns a copy of the context that also ends when all requests are to be answered, as [Reached] tells. The
// returned function releases it.
func (l *Limit) Context(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(context.WithValue(parent, limitKey{}, l))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.init()
	stop := context.AfterFunc(l.base, func() { cancel(context.DeadlineExceeded) })
	return ctx, func() {
		stop()
		cancel(errReleased)
	}
}

func (l *Limit) init() {
	if l.base == nil {
		l.base, l.reach = context.WithCancel(context.Background())
	}
}
