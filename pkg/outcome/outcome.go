package outcome

import "time"

// Outcome states whether a request was run. It is one of Done, NotRun and Unknown.
type Outcome interface {
	sealed()
	// Label returns the outcome's name in the caller contract: "done", "notRun" or "unknown".
	Label() string
}

// Done is the outcome of a request that ran to completion.
type Done struct{}

// NotRun is the outcome of a request that no target has started and none will start.
type NotRun struct {
	// Reason is a reason code of the caller contract.
	Reason string
	// RetryAfter is how long the caller should wait before it retries.
	RetryAfter time.Duration
}

// Unknown is the outcome of a request that may have run.
type Unknown struct {
	// Reason is a reason code of the caller contract.
	Reason string
}

func (Done) sealed()    {}
func (NotRun) sealed()  {}
func (Unknown) sealed() {}

// Label returns "done".
func (Done) Label() string { return "done" }

// Label returns "notRun".
func (NotRun) Label() string { return "notRun" }

// Label returns "unknown".
func (Unknown) Label() string { return "unknown" }
