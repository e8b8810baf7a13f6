package targetcall

import (
	"context"
	"net/http"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
)

// Sender hands one call to one target, once; it never resends.
type Sender interface {
	// Send returns when the target has answered, the call has failed or ctx has ended.
	Send(ctx context.Context, c Call) Result
}

// Call is one request for one target.
type Call struct {
	Target inventory.Target
	// Request is what the caller asked.
	Request Request
	// Left is how long the caller still waits.
	Left time.Duration
}

// Request is a caller's request, passed on unchanged.
type Request struct {
	// ID is the caller's id of this attempt.
	ID     string
	Method string
	Host   string
	// Path is the raw path with its query.
	Path string
	// Header holds the caller's headers without those of one connection.
	Header http.Header
	Body   []byte
}

// Result is how a call ended: Answered, Refused, NotSent or Unknown.
type Result interface{ result() }

// Answered is a whole answer of the target that was called.
type Answered struct {
	Status int
	Header http.Header
	Body   []byte
	// Signature proves which target answered which request; empty when there is none.
	Signature string
	Load      Load
}

// Refused says that the target did not run the call and never will.
type Refused struct {
	// Elsewhere is set when another incarnation has the address.
	Elsewhere bool
	Load      Load
}

// NotSent says that no byte of the call reached the target.
type NotSent struct {
	Err error
	// Down is set when the target did not accept a connection.
	Down bool
}

// Unknown says that the call was handed over and that no whole answer came back.
type Unknown struct{ Err error }

func (Answered) result() {}
func (Refused) result()  {}
func (NotSent) result()  {}
func (Unknown) result()  {}

// Load is what a target says of its load in an answer.
type Load struct {
	// Known is false when the target said nothing.
	Known   bool
	Running int
	Waiting int
	Slots   int
}

// Good reports whether the answer is a success with a signature.
func (a Answered) Good() bool {
	return a.Status >= http.StatusOK && a.Status < http.StatusMultipleChoices && a.Signature != ""
}

// Final reports whether another target would answer the same: a success, or a rejection of the request itself.
func (a Answered) Final() bool {
	return a.Good() || (a.Status >= http.StatusBadRequest && a.Status < http.StatusInternalServerError)
}
