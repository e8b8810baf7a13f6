package dispatch

import (
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/account"
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
	// route has the priority of the account, if that has one.
	route routetable.Route
	// account is the caller's account; it is zero on public routes and if the configuration has no accounts.
	account account.Account
	// revoked reports whether the caller's key was revoked since; nil if the request needs none.
	revoked func() bool
	search  *scatter.Trace
	single  *forward.Trace
	// typicalLatency is the typical latency of a target on the route.
	typicalLatency time.Duration
}

// isRevoked reports whether the caller's key was revoked since the request was authenticated.
func (l requestLog) isRevoked() bool { return l.revoked != nil && l.revoked() }

// fields returns the request ID, the versions of the state that was used, its copy age and the outcome.
func (l requestLog) fields(label, reason string, elapsed time.Duration) []zap.Field {
	out := []zap.Field{
		zap.String("request", l.request.Request.ID),
		zap.String("route", l.route.Name),
		zap.String("outcome", label),
		zap.Float64("ms", float64(elapsed.Microseconds())/1000),
		zap.Int64("deadlineMs", l.request.Deadline.Milliseconds()),
		zap.Uint64("version", l.state.OperatorState.Version()),
		zap.Uint64("revision", l.state.Inventory.Revision),
		zap.Int64("ageMs", time.Since(l.state.ReadAt).Milliseconds()),
	}
	if reason != "" {
		out = append(out, zap.String("reason", reason))
	}
	if l.account.Name != "" {
		out = append(out, zap.String("account", l.account.Name))
	}
	if l.single != nil {
		out = append(out, zap.Any("sends", l.single.Sends))
	}
	if l.search != nil {
		out = append(out, zap.Int("hedged", l.search.Hedged), zap.Float64("usualMs", float64(l.typicalLatency.Microseconds())/1000))
		if len(l.search.Missing) > 0 {
			out = append(out, zap.Any("missing", l.search.Missing))
		}
		if len(l.search.Anomalies) > 0 {
			out = append(out, zap.Any("sends", l.search.Anomalies))
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
	case Unauthorized:
		return "unauthorized", x.Reason
	case OverQuota:
		return "overQuota", ""
	case NotRun:
		return "notRun", x.Reason
	case Lost:
		return "broken", x.Reason
	default:
		panic("dispatch: unknown answer")
	}
}
