package dispatch

import (
	"net/http"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/account"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

// CallerRequest is one request of a caller.
type CallerRequest struct {
	Request targetcall.Request
	// Deadline is how long the caller waits, counted from the arrival of the request; 0 when the caller did not
	// specify it.
	Deadline   time.Duration
	ReceivedAt time.Time
	// Credential is what the caller presented to authenticate.
	Credential account.Credential
	// IdentityHeader holds the headers that tell who the caller is. They are part of the request only if the configuration has
	// no accounts.
	IdentityHeader http.Header
}

// Answer is the response to the caller: [Forwarded], [Merged], [NoRoute], [Unauthorized], [OverQuota], [NotRun] or [Lost].
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

// Unauthorized means that the caller is not authenticated, and that no target has run the request or will run it.
type Unauthorized struct{ Reason string }

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

func (Forwarded) answer()    {}
func (Merged) answer()       {}
func (NoRoute) answer()      {}
func (Unauthorized) answer() {}
func (OverQuota) answer()    {}
func (NotRun) answer()       {}
func (Lost) answer()         {}
