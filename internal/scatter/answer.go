package scatter

import (
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/forward"
)

// Outcome is the result of a search: Merged, NotRun or Failed.
type Outcome interface {
	// Label returns the label of the outcome in logs and metrics.
	Label() string
}

// Merged is an answer that covers at least the share of shards that the route requires.
type Merged struct {
	// Records holds the greatest records of all parts, in descending order.
	Records []byte
	// Signatures holds one signature for each part.
	Signatures []string
	// Missing is the number of shards that are left out.
	Missing int
}

// NotRun means that no target has run the search or will run it.
type NotRun struct {
	Reason     string
	RetryAfter time.Duration
}

// Failed means that too many shards are missing and that some of them may have run the search, or that the caller is
// gone.
type Failed struct {
	Reason  string
	Timeout bool
}

// Label returns "done" or "partial".
func (m Merged) Label() string {
	if m.Missing > 0 {
		return "partial"
	}
	return "done"
}

// Label returns "notRun".
func (NotRun) Label() string { return "notRun" }

// Label returns "failed".
func (Failed) Label() string { return "failed" }

// Trace describes, for the log, the shards that did not answer the first send.
type Trace struct {
	// Anomalies holds the traces of the shards that were sent to more than once or are missing.
	Anomalies map[string]forward.Trace
	// Hedged is the number of hedges over all shards.
	Hedged int
	// Missing holds the shards that are left out, each with the reason.
	Missing map[string]string
}
