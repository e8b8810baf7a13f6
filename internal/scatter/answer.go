package scatter

import (
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/forward"
)

// Outcome is how a search ended: Merged, NotRun or Failed.
type Outcome interface {
	// Word names the kind of outcome in logs and metrics.
	Word() string
}

// Merged is an answer over at least the share of shards that the route asks for.
type Merged struct {
	// Records holds the greatest records of the parts, greatest first.
	Records []byte
	// Signatures holds one signature a part.
	Signatures []string
	// Missing is the number of shards that are left out.
	Missing int
}

// NotRun says that no target ran the search, nor will.
type NotRun struct {
	Reason     string
	RetryAfter time.Duration
}

// Failed says that too many shards are missing and that some may have run the search.
type Failed struct {
	Reason  string
	Timeout bool
}

// Word returns "done" or "partial".
func (m Merged) Word() string {
	if m.Missing > 0 {
		return "partial"
	}
	return "done"
}

// Word returns "notRun".
func (NotRun) Word() string { return "notRun" }

// Word returns "failed".
func (Failed) Word() string { return "failed" }

// Trace is what happened at the shards that did not answer at the first send.
type Trace struct {
	// Odd holds the traces of the shards that were sent to more than once or are missing.
	Odd map[string]forward.Trace
	// Hedged counts second sends over all shards.
	Hedged int
	// Missing lists the shards that are left out, with the reason.
	Missing map[string]string
}
