package target

import (
	"encoding/json"

	"github.com/samber/lo"
)

// DecodeReply decodes a reply and checks it against its batch; a reply that violates the contract fails with
// Malformed.
func DecodeReply(data []byte, b *Batch) (*Reply, error) {
	if len(data) > MaxReplyBytes {
		return nil, Malformed.New("reply is longer than %d bytes", MaxReplyBytes)
	}
	var r Reply
	if err := json.Unmarshal(data, &r); err != nil {
		return nil, Malformed.Wrap(err, "reply is not JSON")
	}
	if r.Incarnation == "" {
		return nil, Malformed.New("reply names no incarnation")
	}
	if r.Refusal != "" {
		r.Results = nil
		return &r, nil
	}
	r.Results = matchResults(r.Results, b)
	return &r, nil
}

// matchResults returns one result per request of the batch, in its order; a missing, duplicate or invalid one becomes
// unknown.
func matchResults(results []Result, b *Batch) []Result {
	byID := lo.GroupBy(results, func(r Result) uint64 { return r.ID })
	return lo.Map(b.Requests, func(q Request, _ int) Result {
		found := byID[q.ID]
		if len(found) != 1 {
			return Result{ID: q.ID, Status: StatusUnknown, Reason: "resultMissing"}
		}
		return CheckResult(q, found[0])
	})
}

// CheckResult returns the result if it satisfies the contract for the request, and otherwise an unknown result with
// the reason.
func CheckResult(q Request, r Result) Result {
	if r.Status != StatusDone {
		return r
	}
	unknown := Result{ID: q.ID, Status: StatusUnknown}
	var items []json.RawMessage
	switch {
	case !r.End:
		unknown.Reason = "truncated"
	case len(r.Items) > 0 && json.Unmarshal(r.Items, &items) != nil:
		unknown.Reason = "itemsNotArray"
	case len(items) != r.Count:
		unknown.Reason = "truncated"
	case r.Snapshot != q.Snapshot:
		unknown.Reason = "snapshotMismatch"
	case len(lo.Without(r.Partitions, q.Partitions...)) > 0:
		unknown.Reason = "partitionMismatch"
	default:
		return r
	}
	return unknown
}
