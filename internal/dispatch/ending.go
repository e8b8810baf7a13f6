package dispatch

import (
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/published"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
	"github.com/knapweedpoint/knapweedpoint/internal/scatter"
)

// latencyBuckets span the objectives of routes, 40 ms to seconds.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(2*time.Millisecond, 1.6, 20)

// ending is what the log line of a request tells.
type ending struct {
	question Question
	state    published.State
	route    routetable.Route
	search   *scatter.Trace
	single   *forward.Trace
	// usual is how long one target's answer usually takes on the route.
	usual time.Duration
}

// fields returns the request's id, what decided, the age of it and the outcome.
func (e ending) fields(word, detail string, took time.Duration) []zap.Field {
	out := []zap.Field{
		zap.String("request", e.question.Request.ID),
		zap.String("route", e.route.Name),
		zap.String("outcome", word),
		zap.Float64("ms", float64(took.Microseconds())/1000),
		zap.Int64("deadlineMs", e.question.Deadline.Milliseconds()),
		zap.Uint64("version", e.state.Orders.Version()),
		zap.Uint64("revision", e.state.Inventory.Revision),
		zap.Int64("ageMs", time.Since(e.state.FreshAt).Milliseconds()),
	}
	if detail != "" {
		out = append(out, zap.String("reason", detail))
	}
	if e.single != nil {
		out = append(out, zap.Any("sends", e.single.Sends))
	}
	if e.search != nil {
		out = append(out, zap.Int("hedged", e.search.Hedged), zap.Float64("usualMs", float64(e.usual.Microseconds())/1000))
		if len(e.search.Missing) > 0 {
			out = append(out, zap.Any("missing", e.search.Missing))
		}
		if len(e.search.Odd) > 0 {
			out = append(out, zap.Any("sends", e.search.Odd))
		}
	}
	return out
}

// describe returns the word and the reason of an answer.
func describe(a Answer) (word, reason string) {
	switch x := a.(type) {
	case Passed:
		if x.Answer.Good() {
			return "done", ""
		}
		return "targetFailed", ""
	case Found:
		if x.Missing > 0 {
			return "partial", ""
		}
		return "done", ""
	case NoRoute:
		return "noRoute", ""
	case NotRun:
		return "notRun", x.Reason
	case Broken:
		return "broken", x.Reason
	default:
		panic("dispatch: unknown answer")
	}
}
