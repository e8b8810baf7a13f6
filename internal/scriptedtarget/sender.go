package scriptedtarget

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

// ErrReset is the error of a scripted connection reset.
var ErrReset = errors.New("connection reset")

// Behaviour describes how a target handles one call.
type Behaviour struct {
	// Delay is the delay before the call returns its result.
	Delay time.Duration
	// Result is the result of the call; nil means Success.
	Result targetcall.Result
}

// Call is the record of one call to a target.
type Call struct {
	Target    string
	Request   targetcall.Request
	SentAt    time.Time
	Remaining time.Duration
	Cancelled bool
}

// Sender is a targetcall.Sender with scripted results. Its zero value answers every call with Success and no delay.
type Sender struct {
	// Behave returns the behaviour of a target on its nth call, counted from 0.
	Behave func(target string, n int) Behaviour

	mu         sync.Mutex
	calls      []Call
	callCounts map[string]int
}

// Success returns a complete answer of a target with status 200.
func Success(target string) targetcall.Answered {
	return targetcall.Answered{Status: 200, Body: []byte("body of " + target), Signature: "signed-" + target}
}

// Failure returns a complete answer of a target with status 500.
func Failure(target string) targetcall.Answered {
	return targetcall.Answered{Status: 500, Signature: "signed-" + target}
}

// Send records a call and returns its scripted result, or Unknown if ctx ends first.
func (s *Sender) Send(ctx context.Context, c targetcall.Call) targetcall.Result {
	b, i := s.record(c)
	select {
	case <-time.After(b.Delay):
	case <-ctx.Done():
		s.mu.Lock()
		defer s.mu.Unlock()
		s.calls[i].Cancelled = true
		return targetcall.Unknown{Err: ctx.Err()}
	}
	if b.Result == nil {
		return Success(c.Target.ID)
	}
	return b.Result
}

func (s *Sender) record(c targetcall.Call) (Behaviour, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.callCounts == nil {
		s.callCounts = map[string]int{}
	}
	n := s.callCounts[c.Target.ID]
	s.callCounts[c.Target.ID]++
	s.calls = append(s.calls, Call{Target: c.Target.ID, Request: c.Request, SentAt: time.Now(), Remaining: c.Remaining})
	if s.Behave == nil {
		return Behaviour{}, len(s.calls) - 1
	}
	return s.Behave(c.Target.ID, n), len(s.calls) - 1
}

// Calls returns the calls so far, in the order in which they were sent.
func (s *Sender) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}
