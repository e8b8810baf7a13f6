package target

import "encoding/json"

// Paths of the target contract.
const (
	PathRun    = "/v1/run"
	PathHealth = "/v1/health"
	PathLoad   = "/v1/load"
)

// Statuses of a Result.
const (
	StatusDone    = "done"
	StatusNotRun  = "notRun"
	StatusUnknown = "unknown"
)

// Refusal codes of a Reply, and reason codes of a Result whose request was not run.
const (
	RefusalShed      = "shed"
	RefusalDraining  = "draining"
	RefusalLate      = "late"
	RefusalSnapshot  = "snapshotMissing"
	RefusalPartition = "partitionMissing"
	RefusalInvalid   = "invalid"
)

// Batch is one request to a target; it occupies one slot, however many sub-requests it carries.
type Batch struct {
	// NotAfter is the wall-clock time, in microseconds since 1970, after which a target must not start the batch.
	NotAfter int64 `json:"notAfter"`
	// Requests are run in order.
	Requests []Request `json:"requests"`
}

// Request is one sub-request of a Batch.
type Request struct {
	// ID identifies the result; it is unique within the batch.
	ID uint64 `json:"id"`
	// Kind is one of the request kinds of package settings.
	Kind string `json:"kind"`
	// Snapshot is the name of the snapshot to read; it is empty for bookings.
	Snapshot string `json:"snapshot,omitempty"`
	// Partitions are the names of the partitions to read.
	Partitions []string `json:"partitions,omitempty"`
	// Key is the idempotency key of a booking.
	Key string `json:"key,omitempty"`
	// Body is the caller's JSON, passed through unchanged.
	Body json.RawMessage `json:"body,omitempty"`
}

// Reply answers a Batch.
type Reply struct {
	// Target is the name of the replying target.
	Target string `json:"target"`
	// Incarnation changes with each start of the target.
	Incarnation string `json:"incarnation"`
	// Load is the load that the target reports; it may be outdated or wrong.
	Load Load `json:"load"`
	// Refusal, when set, means that no request of the batch was run.
	Refusal string `json:"refusal,omitempty"`
	// Leaving says that the target is shutting down: this incarnation wants no further batch. RefusalDraining says the
	// same.
	Leaving bool `json:"leaving,omitempty"`
	// RetryAfter, in a refusal, is the time in seconds for which the target wants no further batch from the relay.
	RetryAfter float64 `json:"retryAfter,omitempty"`
	// Unreadable holds the values of leaving and retryAfter that violate the contract and were ignored, shortened.
	Unreadable string `json:"-"`
	// Results holds one result per request, in the order of the batch.
	Results []Result `json:"results,omitempty"`
}

// LeavingSaid reports whether the reply says that the target is leaving.
func (r *Reply) LeavingSaid() bool { return r.Leaving || r.Refusal == RefusalDraining }

// Load is the load that a target reports.
type Load struct {
	Slots    int  `json:"slots"`
	InFlight int  `json:"inFlight"`
	Queued   int  `json:"queued"`
	Cold     bool `json:"cold"`
}

// Result answers one Request.
type Result struct {
	ID     uint64 `json:"id"`
	Status string `json:"status"`
	Reason string `json:"reason,omitempty"`
	// Snapshot and Partitions are those from which the items were read.
	Snapshot   string   `json:"snapshot,omitempty"`
	Partitions []string `json:"partitions,omitempty"`
	// Items is a JSON array.
	Items json.RawMessage `json:"items,omitempty"`
	// Count is the number of items, so that a truncated array is detected.
	Count int `json:"count"`
	// End is true when the result is complete.
	End bool `json:"end"`
}

// Health answers PathHealth.
type Health struct {
	Ready       bool   `json:"ready"`
	Incarnation string `json:"incarnation"`
}
