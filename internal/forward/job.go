package forward

import (
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
	"github.com/knapweedpoint/knapweedpoint/internal/targetselect"
)

// Job is one request to one service.
type Job struct {
	Service string
	Route   routetable.Route
	Request targetcall.Request
	// Deadline is when the caller stops waiting or the timeout of the route expires.
	Deadline time.Time
	// AlreadySent is set when another daemon may have sent the request to the service before. The job then adds nothing
	// to the retry budget, and its first send is charged to the budget as an additional send.
	AlreadySent bool
	// Deferred is set if the job starts only when Batch.Begin is called for it.
	Deferred bool
	// PartOfSearch is set for the jobs of a search. Once a call of such a job has broken, no other target gets the search again
	// before a target has answered it, because it may crash the targets that run it.
	PartOfSearch bool
	// MayResend is called before an additional send when an earlier one may have run; a nil func allows all of them.
	MayResend func() bool
	// Revoked reports whether the caller's authentication was revoked. The job then sends nothing more if nothing of its batch
	// may have run. It is optional.
	Revoked func() bool
}

func (j Job) class() targetselect.Class {
	return targetselect.Class{Name: j.Route.Host + j.Route.Prefix, Objective: j.Route.Objective}
}

// Outcome is the result of a job: Done, Failed, NotRun or Lost.
type Outcome interface {
	// Label returns the label of the outcome in logs and metrics.
	Label() string
}

// Done is the final answer of a target.
type Done struct {
	Answer targetcall.Answered
	Target string
}

// Failed is the failure of a target after which no attempt was left.
type Failed struct {
	Answer targetcall.Answered
	Target string
}

// NotRun means that no target has run the request or will run it.
type NotRun struct {
	Reason     string
	RetryAfter time.Duration
}

// Lost means that a target may have run the request and that no answer was received.
type Lost struct {
	Reason string
	// Timeout is set when the time of the job was up.
	Timeout bool
}

// Label returns "done".
func (Done) Label() string { return "done" }

// Label returns "failed".
func (Failed) Label() string { return "failed" }

// Label returns "notRun".
func (NotRun) Label() string { return "notRun" }

// Label returns "lost".
func (Lost) Label() string { return "lost" }

// Reasons of outcomes, as they appear in logs.
const (
	ReasonNoTarget         = "noTarget"
	ReasonTargetsFull      = "targetsFull"
	ReasonTimeout          = "timeout"
	ReasonCallerGone       = "callerGone"
	ReasonConnectionBroken = "connectionBroken"
	ReasonRetryBudget      = "retryBudget"
	ReasonTargetsLimited   = "targetsLimited"
	ReasonTargetsHoldOff   = "targetsHoldOff"
	ReasonCrashesTargets   = "crashesTargets"
	ReasonRevoked          = "revokedKey"
)

// Trace records the sends of a job for the log.
type Trace struct {
	// Sends lists the target and the result of each send, in the order in which the sends ended.
	Sends []SendTrace
	// Hedged is the number of hedges: additional sends that were made while an earlier one was in flight.
	Hedged int
}

// SendTrace is one send of a job.
type SendTrace struct {
	Target string  `json:"target"`
	Result string  `json:"ending"`
	Millis float64 `json:"ms"`
}
