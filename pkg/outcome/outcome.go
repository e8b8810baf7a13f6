package outcome

import "time"

// Outcome states whether a request was run. It is one of Done, NotRun and Unknown.
type Outcome interface {
	sealed()
	// Word returns the outcome's name in the caller contract: "done", "notRun" or "unknown".
	Word() string
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

// Word returns "done".
func (Done) Word() string { return "done" }

// Word returns "notRun".
func (NotRun) Word() string { return "notRun" }

// Word returns "unknown".
func (Unknown) Word() string { return "unknown" }
