package dispatch

import (
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

// CallerRequest is one request of a caller.
type CallerRequest struct {
	Request targetcall.Request
	// Deadline is how long the caller waits, counted from the arrival of the request; 0 when the caller did not
	// specify it.
	Deadline   time.Duration
	ReceivedAt time.Time
}

// Answer is the response to the caller: [Forwarded], [Merged], [NoRoute], [OverQuota], [NotRun] or [Lost].
type Answer interface{ answer() }

// Forwarded is the answer of a target, passed through.
type Forwarded struct{ Answer targetcall.Answered }

// Merged is the merged answer of a search.
type Merged struct {
	Records    []byte
	Signatures []string
	Missing    int
}

// NoRoute means that the current configuration has no route for the request.
type NoRoute struct{}

// OverQuota means that the caller's account is over its quota. The request has not run.
type OverQuota struct{ RetryAfter time.Duration }

// NotRun means that no target has run the request or will run it.
type NotRun struct {
	Reason     string
	RetryAfter time.Duration
}

// Lost means that the request may have run and that there is no answer.
type Lost struct {
	Reason string
	// Timeout is set when the time of the request was up.
	Timeout bool
}

func (Forwarded) answer() {}
func (Merged) answer()    {}
func (NoRoute) answer()   {}
func (OverQuota) answer() {}
func (NotRun) answer()    {}
func (Lost) answer()      {}
