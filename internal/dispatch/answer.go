package dispatch

import (
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

// Question is one request of a caller.
type Question struct {
	Request targetcall.Request
	// Deadline is how long the caller waits, counted from the arrival of the request; 0 when the caller did not
	// specify it.
	Deadline   time.Duration
	ReceivedAt time.Time
}

// Answer is the response to the caller: [Passed], [Found], [NoRoute], [NotRun] or [Broken].
type Answer interface{ answer() }

// Passed is the answer of a target, passed through.
type Passed struct{ Answer targetcall.Answered }

// Found is the merged answer of a search.
type Found struct {
	Records    []byte
	Signatures []string
	Missing    int
}

// NoRoute means that the current configuration has no route for the request.
type NoRoute struct{}

// NotRun means that no target has run the request or will run it.
type NotRun struct {
	Reason     string
	RetryAfter time.Duration
}

// Broken means that the request may have run and that there is no answer.
type Broken struct {
	Reason string
	// Timeout is set when the time of the request was up.
	Timeout bool
}

func (Passed) answer()  {}
func (Found) answer()   {}
func (NoRoute) answer() {}
func (NotRun) answer()  {}
func (Broken) answer()  {}
