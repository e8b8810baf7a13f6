package dispatch

import (
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
	"github.com/knapweedpoint/knapweedpoint/internal/scatter"
)

// latencyBuckets covers the objectives of routes, from 40 ms to seconds.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 1.6, 20)

// requestLog is the content of the log entry of a request.
type requestLog struct {
	request CallerRequest
	state   platformstate.State
	route   routetable.Route
	search  *scatter.Trace
	single  *forward.Trace
	// typicalLatency is the typical latency of a target on the route.
	typicalLatency time.Duration
}

// fields returns the request ID, the versions of the state that was used, the age of that state and the outcome.
func (e requestLog) fields(label, reason string, elapsed time.Duration) []zap.Field {
	out := []zap.Field{
		zap.String("request", e.request.Request.ID),
		zap.String("route", e.route.Name),
		zap.String("outcome", label),
		zap.Float64("ms", float64(elapsed.Microseconds())/1000),
		zap.Int64("deadlineMs", e.request.Deadline.Milliseconds()),
		zap.Uint64("version", e.state.OperatorState.Version()),
		zap.Uint64("revision", e.state.Inventory.Revision),
		zap.Int64("ageMs", time.Since(e.state.ReadAt).Milliseconds()),
	}
	if reason != "" {
		out = append(out, zap.String("reason", reason))
	}
	if e.single != nil {
		out = append(out, zap.Any("sends", e.single.Sends))
	}
	if e.search != nil {
		out = append(out, zap.Int("hedged", e.search.Hedged), zap.Float64("usualMs", float64(e.typicalLatency.Microseconds())/1000))
		if len(e.search.Missing) > 0 {
			out = append(out, zap.Any("missing", e.search.Missing))
		}
		if len(e.search.Anomalies) > 0 {
			out = append(out, zap.Any("sends", e.search.Anomalies))
		}
	}
	return out
}

// labelAndReason returns the label and the reason of an answer.
func labelAndReason(a Answer) (label, reason string) {
	switch x := a.(type) {
	case Forwarded:
		if x.Answer.Success() {
			return "done", ""
		}
		return "targetFailed", ""
	case Merged:
		if x.Missing > 0 {
			return "partial", ""
		}
		return "done", ""
	case NoRoute:
		return "noRoute", ""
	case NotRun:
		return "notRun", x.Reason
	case Lost:
		return "broken", x.Reason
	default:
		panic("dispatch: unknown answer")
	}
}
