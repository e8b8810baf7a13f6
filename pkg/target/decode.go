package target

import (
	"encoding/json"
	"errors"
	"math"
	"strconv"
	"strings"

	"github.com/samber/lo"
)

// DecodeReply decodes a reply and checks it against its batch; a reply that violates the contract fails with
// Malformed.
func DecodeReply(data []byte, b *Batch) (*Reply, error) {
	if len(data) > MaxReplyBytes {
		return nil, Malformed.New("reply is longer than %d bytes", MaxReplyBytes)
	}
	var w wireReply
	if err := json.Unmarshal(data, &w); err != nil {
		return nil, Malformed.Wrap(err, "reply is not JSON")
	}
	r := w.decode()
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

// maxUnreadableBytes bounds how much of an unreadable value is passed on for the log.
const maxUnreadableBytes = 64

// wireReply is a Reply with undecoded notices, so that an invalid notice does not make the results unreadable.
type wireReply struct {
	Reply
	Leaving    json.RawMessage `json:"leaving"`
	RetryAfter json.RawMessage `json:"retryAfter"`
}

func (w *wireReply) decode() Reply {
	r := w.Reply
	if len(w.Leaving) > 0 && json.Unmarshal(w.Leaving, &r.Leaving) != nil {
		r.addUnreadable("leaving", w.Leaving)
	}
	seconds, ok := parseSeconds(w.RetryAfter)
	if !ok {
		r.addUnreadable("retryAfter", w.RetryAfter)
	}
	if r.Refusal != "" {
		r.RetryAfter = seconds
	}
	return r
}

func (r *Reply) addUnreadable(field string, value json.RawMessage) {
	if r.Unreadable != "" {
		r.Unreadable += ", "
	}
	r.Unreadable += field + " " + strings.ToValidUTF8(string(value[:min(len(value), maxUnreadableBytes)]), "")
}

// parseSeconds parses a JSON number of at least 0; no value and null are 0. A number too large for a float64 is the
// largest one.
func parseSeconds(raw json.RawMessage) (float64, bool) {
	if len(raw) == 0 || string(raw) == "null" {
		return 0, true
	}
	seconds, err := strconv.ParseFloat(string(raw), 64)
	if errors.Is(err, strconv.ErrRange) {
		seconds, err = math.Copysign(math.MaxFloat64, seconds), nil
	}
	if err != nil || seconds < 0 {
		return 0, false
	}
	return seconds, true
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
