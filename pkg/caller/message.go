package caller

import (
	"encoding/json"

	"github.com/knapweedpoint/knapweedpoint/pkg/outcome"
)

// HTTP headers of the caller contract.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Reason codes of answers whose outcome is not "done".
const (
	ReasonOverload       = "overload"
	ReasonNotReady       = "notReady"
	ReasonStaleView      = "staleView"
	ReasonStopping       = "stopping"
	ReasonNoTarget       = "noTarget"
	ReasonTargetsHoldOff = "targetsHoldOff"
	ReasonTargetsLeaving = "targetsLeaving"
	ReasonQuarantined    = "quarantined"
	ReasonDeadline       = "deadline"
	ReasonConnectionLost = "connectionLost"
	ReasonNoWitness      = "noWitness"
	ReasonInProgress     = "inProgress"
	ReasonKeyTooOld      = "keyTooOld"
	ReasonBodyChanged    = "bodyChanged"
	ReasonUnknownGroup   = "unknownGroup"
	ReasonNoRecord       = "noRecord"
	ReasonAnswerTooLarge = "answerTooLarge"
)

// Question is the body of a search, a look-up or a booking.
type Question struct {
	// Body is passed to the targets unchanged.
	Body json.RawMessage `json:"body"`
	// Deadline is a duration such as "150ms". The default is the deadline of the group.
	Deadline string `json:"deadline,omitempty"`
}

// Answer is the result of any call.
type Answer struct {
	// Outcome is "done", "notRun" or "unknown".
	Outcome string `json:"outcome"`
	// Reason is a reason code. It is empty when the outcome is "done".
	Reason string `json:"reason,omitempty"`
	// RetryAfterMs is how long the caller should wait before it retries a request that was not run.
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"`
	// Snapshot is the name of the snapshot from which all items were read.
	Snapshot string `json:"snapshot,omitempty"`
	// Coverage is the part of the snapshot that the answer covers. It is nil when nothing was read.
	Coverage *Coverage `json:"coverage,omitempty"`
	// Items is a JSON array of the items that the targets returned.
	Items json.RawMessage `json:"items,omitempty"`
}

// Coverage is the part of a snapshot's records that an answer covers.
type Coverage struct {
	Covered int64 `json:"covered"`
	Records int64 `json:"records"`
	// Share is Covered / Records. It is 1 only when nothing is missing.
	Share float64 `json:"share"`
	// Missing lists the partitions that are not covered.
	Missing []Missing `json:"missing,omitempty"`
}

// Missing is one partition that an answer does not cover.
type Missing struct {
	Partition string `json:"partition"`
	Records   int64  `json:"records"`
	Reason    string `json:"reason"`
}

// NewAnswer returns an answer that states the outcome, its reason and its retry delay.
func NewAnswer(o outcome.Outcome) Answer {
	a := Answer{Outcome: o.Label()}
	switch v := o.(type) {
	case outcome.NotRun:
		a.Reason = v.Reason
		a.RetryAfterMs = v.RetryAfter.Milliseconds()
	case outcome.Unknown:
		a.Reason = v.Reason
	case outcome.Done:
	}
	return a
}

// WithItems returns a copy of the answer with other items.
func (a Answer) WithItems(items json.RawMessage) Answer {
	a.Items = items
	return a
}

// WithCoverage returns a copy of the answer with another snapshot and coverage.
func (a Answer) WithCoverage(snapshot string, c Coverage) Answer {
	a.Snapshot = snapshot
	a.Coverage = &c
	return a
}
