package targetcall

import (
	"context"
	"net/http"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
)

// Sender sends a call to its target once; it never resends.
type Sender interface {
	// Send returns when the target has answered, the call has failed or ctx has ended.
	Send(ctx context.Context, c Call) Result
}

// Call is one request for one target.
type Call struct {
	Target  inventory.Target
	Request Request
	// Remaining is the time that remains until the caller's deadline.
	Remaining time.Duration
	// Withdrawn reports whether the target may not be called any more. It is asked when a connection is available, before
	// the call is written. It is optional.
	Withdrawn func() bool
}

// Request is a caller's request, which is passed on unchanged.
type Request struct {
	// ID is the caller's id of this attempt.
	ID     string
	Method string
	Host   string
	// Path is the raw path with its query.
	Path string
	// Header holds the caller's headers without the hop-by-hop headers.
	Header http.Header
	Body   []byte
	// Account is the name of the caller's account; empty if it has none.
	Account string
}

// Result is the result of a call: Answered, Refused, NotSent or Unknown.
type Result interface{ result() }

// Answered is a complete answer of the target that was called.
type Answered struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature proves which target answered which request; it is empty when the answer has none.
	Signature string
	Load      Load
	RateLimit RateLimit
	// Leaving is set when the target says that it is shutting down.
	Leaving bool
	// RetryAfter is what a refusal with status 503 states about further calls.
	RetryAfter RetryAfter
}

// Refused means that the target did not run the call and will not run it later.
type Refused struct {
	// OtherIncarnation is set when another incarnation uses the target's address.
	OtherIncarnation bool
	Load             Load
	RateLimit        RateLimit
	// Leaving is set when the target says that it is shutting down.
	Leaving bool
	// RetryAfter is what a refusal with status 503 states about further calls.
	RetryAfter RetryAfter
}

// NotSent means that no byte of the call reached the target.
type NotSent struct {
	Err error
	// Unreachable is set when the target did not accept a connection.
	Unreachable bool
}

// Unknown means that the call was sent but no complete answer arrived: the target may have run it.
type Unknown struct {
	Err error
	// TimedOut is set when the call's time had passed. Otherwise the connection or the answer broke.
	TimedOut bool
}

func (Answered) result() {}
func (Refused) result()  {}
func (NotSent) result()  {}
func (Unknown) result()  {}

// Load is the load that a target reports in an answer.
type Load struct {
	// Known is false when the target reported no load.
	Known   bool
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes at this moment in proportion to usual, 1 being usual; 0 if the target did not say.
	Pace float64
}

// Success reports whether the answer is a success with a signature.
func (a Answered) Success() bool {
	return a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices && a.Signature != ""
}

// Final reports whether the answer is a success or a rejection of the request itself. A retry on another target would
// give the same answer.
func (a Answered) Final() bool {
	return a.Success() || (a.Status >= http.StatusBadRequest && a.Status < http.StatusInternalServerError)
}
