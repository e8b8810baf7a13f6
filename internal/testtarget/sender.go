package testtarget

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

// ErrReset is what a scripted reset reports.
var ErrReset = errors.New("connection reset")

// Behaviour is how a target treats one call.
type Behaviour struct {
	// After is how long the target takes.
	After time.Duration
	// Result is what it ends with; nil is a success.
	Result targetcall.Result
}

// Call is one call that a target got.
type Call struct {
	Target    string
	At        time.Time
	Left      time.Duration
	Cancelled bool
}

// Sender answers calls as scripted; its zero value answers all at once with success.
type Sender struct {
	// Behave returns how a target treats its nth call, counted from 0.
	Behave func(target string, n int) Behaviour

	mu    sync.Mutex
	calls []Call
	count map[string]int
}

// Success is a whole good answer of a target.
func Success(target string) targetcall.Answered {
	return targetcall.Answered{Status: 200, Body: []byte("body of " + target), Signature: "signed-" + target}
}

// Failure is a target's own failure.
func Failure(target string) targetcall.Answered {
	return targetcall.Answered{Status: 500, Signature: "signed-" + target}
}

// Send answers one call.
func (s *Sender) Send(ctx context.Context, c targetcall.Call) targetcall.Result {
	b, i := s.note(c)
	select {
	case <-time.After(b.After):
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

func (s *Sender) note(c targetcall.Call) (Behaviour, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count == nil {
		s.count = map[string]int{}
	}
	n := s.count[c.Target.ID]
	s.count[c.Target.ID]++
	s.calls = append(s.calls, Call{Target: c.Target.ID, At: time.Now(), Left: c.Left})
	if s.Behave == nil {
		return Behaviour{}, len(s.calls) - 1
	}
	return s.Behave(c.Target.ID, n), len(s.calls) - 1
}

// Calls returns the calls so far, in order.
func (s *Sender) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}
