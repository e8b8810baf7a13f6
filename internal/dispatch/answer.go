package dispatch

import (
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

// Question is one request of a caller.
type Question struct {
	Request targetcall.Request
	// Deadline is how long the caller waits from Begun on, 0 when it did not say.
	Deadline time.Duration
	Begun    time.Time
}

// Answer is what the caller gets: Passed, Found, NoRoute, NotRun or Broken.
type Answer interface{ answer() }

// Passed is a target's own answer.
type Passed struct{ Answer targetcall.Answered }

// Found is the merged answer of a search.
type Found struct {
	Records    []byte
	Signatures []string
	Missing    int
}

// NoRoute says that the configuration in force has no route for the request.
type NoRoute struct{}

// NotRun says that no target ran the request, nor will.
type NotRun struct {
	Reason     string
	RetryAfter time.Duration
}

// Broken says that the request may have run and that there is no answer.
type Broken struct {
	Reason string
	// Timeout is set when time ran out.
	Timeout bool
}

func (Passed) answer()  {}
func (Found) answer()   {}
func (NoRoute) answer() {}
func (NotRun) answer()  {}
func (Broken) answer()  {}
