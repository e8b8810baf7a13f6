package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/crashguard"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/published"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
	"github.com/knapweedpoint/knapweedpoint/internal/scatter"
	"github.com/knapweedpoint/knapweedpoint/internal/split"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

const (
	// retryUnconfigured is told to callers before the first configuration, which a daemon has within a second.
	retryUnconfigured = 500 * time.Millisecond
	// firstConfiguration is how long a request may wait for a daemon's first read, which takes some 20 ms.
	firstConfiguration = 250 * time.Millisecond
	// configurationPoll is how often a waiting request looks for it.
	configurationPoll = 5 * time.Millisecond
	// defaultTimeout is for routes without a timeout, under callers without a deadline.
	defaultTimeout = 30 * time.Second
)

// Reasons of answers besides those of package forward.
const (
	ReasonUnconfigured = "noConfiguration"
	ReasonNoService    = "noService"
	ReasonCrashes      = "crashesTargets"
)

// Dispatcher answers callers; all fields but Log and Scope are needed.
type Dispatcher struct {
	State     func() published.State
	Forwarder *forward.Forwarder
	Gatherer  *scatter.Gatherer
	Splits    *split.Picker
	// Margin is what an answer takes on its way to the caller.
	Margin time.Duration
	Log    *zap.Logger
	Scope  tally.Scope
	// Refuses reports whether a request crashes its targets and must not reach them.
	Refuses func(r targetcall.Request) bool
}

// Answer answers one request; it returns at the latest when the caller or the route stops waiting, or ctx ends.
func (d *Dispatcher) Answer(ctx context.Context, q Question) Answer {
	state := d.configured(ctx, q)
	e := ending{question: q, state: state}
	if !state.Configured() {
		return d.end(e, NotRun{Reason: ReasonUnconfigured, RetryAfter: retryUnconfigured})
	}
	route, ok := state.Orders.Table.Find(q.Request.Host, q.Request.Path)
	if !ok {
		return d.end(e, NoRoute{})
	}
	e.route = route
	if d.Refuses != nil && d.Refuses(q.Request) {
		return d.end(e, NotRun{Reason: ReasonCrashes, RetryAfter: crashguard.KeepFor})
	}
	until := d.until(q, route)
	switch x := route.Destination.(type) {
	case routetable.Scatter:
		return d.search(ctx, e, x, until)
	case routetable.Split:
		return d.forward(ctx, e, d.Splits.Pick(route.Host+route.Prefix, x), until)
	case routetable.Single:
		return d.forward(ctx, e, x.Service, until)
	default:
		panic("dispatch: unknown destination")
	}
}

// configured returns the published state; a daemon that has just started waits a moment for its first configuration.
func (d *Dispatcher) configured(ctx context.Context, q Question) published.State {
	wait := firstConfiguration
	if q.Deadline > 0 {
		wait = min(wait, q.Deadline/4)
	}
	state := d.State()
	for !state.Configured() && time.Since(q.Begun) < wait && ctx.Err() == nil {
		time.Sleep(configurationPoll)
		state = d.State()
	}
	return state
}

// until returns when the request must be answered: early enough for the answer to reach a caller that is about to leave.
func (d *Dispatcher) until(q Question, r routetable.Route) time.Time {
	wait := r.Timeout
	if wait <= 0 {
		wait = defaultTimeout
	}
	if q.Deadline > 0 {
		wait = min(wait, max(q.Deadline-d.Margin, q.Deadline/2))
	}
	return q.Begun.Add(wait)
}

func (d *Dispatcher) search(ctx context.Context, e ending, s routetable.Scatter, until time.Time) Answer {
	out, trace := d.Gatherer.Run(ctx, scatter.Search{
		Route: e.route, Scatter: s, Request: e.question.Request, Begun: e.question.Begun, Until: until,
	})
	e.search = &trace
	e.usual = d.Forwarder.Usual(e.route)
	switch x := out.(type) {
	case scatter.Merged:
		return d.end(e, Found{Records: x.Records, Signatures: x.Signatures, Missing: x.Missing})
	case scatter.NotRun:
		return d.end(e, NotRun{Reason: x.Reason, RetryAfter: x.RetryAfter})
	case scatter.Failed:
		return d.end(e, Broken{Reason: x.Reason, Timeout: x.Timeout})
	default:
		panic("dispatch: unknown outcome of a search")
	}
}

func (d *Dispatcher) forward(ctx context.Context, e ending, service string, until time.Time) Answer {
	if service == "" {
		return d.end(e, NotRun{Reason: ReasonNoService, RetryAfter: retryUnconfigured})
	}
	out, trace := d.Forwarder.Run(ctx, forward.Job{Service: service, Route: e.route, Request: e.question.Request, Until: until})
	e.single = &trace
	switch x := out.(type) {
	case forward.Done:
		return d.end(e, Passed{Answer: x.Answer})
	case forward.Failed:
		return d.end(e, passFailure(x))
	case forward.NotRun:
		return d.end(e, NotRun{Reason: x.Reason, RetryAfter: x.RetryAfter})
	case forward.Lost:
		return d.end(e, Broken{Reason: x.Reason, Timeout: x.Timeout})
	default:
		panic("dispatch: unknown outcome")
	}
}

// passFailure passes a target's failure on, unless its status would say that the request did not run.
func passFailure(f forward.Failed) Answer {
	if f.Answer.Status == http.StatusServiceUnavailable || f.Answer.Signature == "" {
		return Broken{Reason: "targetFailed"}
	}
	return Passed{Answer: f.Answer}
}

func (d *Dispatcher) end(e ending, a Answer) Answer {
	took := time.Since(e.question.Begun)
	word, status := describe(a)
	if d.Scope != nil {
		s := d.Scope.Tagged(map[string]string{"route": e.route.Name, "outcome": word})
		s.Counter("requests").Inc(1)
		s.Histogram("latency", latencyBuckets).RecordDuration(took)
	}
	events.RequestEnded.Log(d.Log, e.fields(word, status, took)...)
	return a
}
