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
	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
	"github.com/knapweedpoint/knapweedpoint/internal/scatter"
	"github.com/knapweedpoint/knapweedpoint/internal/split"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

const (
	// retryAfterUnconfigured is the retry delay for callers before the first configuration, which a daemon receives
	// within a second of its start.
	retryAfterUnconfigured = 500 * time.Millisecond
	// firstConfigurationWait is how long a request may wait for the first read of the configuration, which takes some
	// 20 ms.
	firstConfigurationWait = 250 * time.Millisecond
	// configurationPollInterval is how often a waiting request checks for the first configuration.
	configurationPollInterval = 5 * time.Millisecond
	// defaultTimeout applies to routes without a timeout when the caller has no deadline.
	defaultTimeout = 30 * time.Second
)

// Reasons of answers in addition to those of package forward.
const (
	ReasonUnconfigured   = "noConfiguration"
	ReasonNoService      = "noService"
	ReasonCrashesTargets = "crashesTargets"
)

// Dispatcher answers callers. All fields are required unless they are marked as optional.
type Dispatcher struct {
	State     func() platformstate.State
	Forwarder *forward.Forwarder
	Gatherer  *scatter.Gatherer
	Splits    *split.Picker
	// Margin is the time an answer needs to reach the caller.
	Margin time.Duration
	// Log and Scope are optional.
	Log   *zap.Logger
	Scope tally.Scope
	// Quarantined reports whether a request crashes its targets and must not be sent to them. It is optional; nil refuses
	// none.
	Quarantined func(r targetcall.Request) bool
}

// Handle answers one request. It returns at the latest when the caller or the route stops waiting, or when ctx is
// done.
func (d *Dispatcher) Handle(ctx context.Context, q CallerRequest) Answer {
	state := d.waitConfigured(ctx, q)
	e := requestLog{request: q, state: state}
	if !state.Configured() {
		return d.finish(e, NotRun{Reason: ReasonUnconfigured, RetryAfter: retryAfterUnconfigured})
	}
	route, ok := state.OperatorState.Table.Find(q.Request.Host, q.Request.Path)
	if !ok {
		return d.finish(e, NoRoute{})
	}
	e.route = route
	if d.Quarantined != nil && d.Quarantined(q.Request) {
		return d.finish(e, NotRun{Reason: ReasonCrashesTargets, RetryAfter: crashguard.SuspicionTTL})
	}
	deadline := d.deadline(q, route)
	switch x := route.Destination.(type) {
	case routetable.Scatter:
		return d.search(ctx, e, x, deadline)
	case routetable.Split:
		return d.forward(ctx, e, d.Splits.Pick(route.Host+route.Prefix, x), deadline)
	case routetable.Single:
		return d.forward(ctx, e, x.Service, deadline)
	default:
		panic("dispatch: unknown destination")
	}
}

// waitConfigured returns the published state. A daemon that has just started waits briefly for its first
// configuration.
func (d *Dispatcher) waitConfigured(ctx context.Context, q CallerRequest) platformstate.State {
	wait := firstConfigurationWait
	if q.Deadline > 0 {
		wait = min(wait, q.Deadline/4)
	}
	state := d.State()
	for !state.Configured() && time.Since(q.ReceivedAt) < wait && ctx.Err() == nil {
		time.Sleep(configurationPollInterval)
		state = d.State()
	}
	return state
}

// deadline returns when the request must be answered so that the answer reaches the caller before it stops waiting.
func (d *Dispatcher) deadline(q CallerRequest, r routetable.Route) time.Time {
	wait := r.Timeout
	if wait <= 0 {
		wait = defaultTimeout
	}
	if q.Deadline > 0 {
		wait = min(wait, max(q.Deadline-d.Margin, q.Deadline/2))
	}
	return q.ReceivedAt.Add(wait)
}

func (d *Dispatcher) search(ctx context.Context, e requestLog, s routetable.Scatter, deadline time.Time) Answer {
	out, trace := d.Gatherer.Run(ctx, scatter.Search{
		Route: e.route, Scatter: s, Request: e.request.Request, ReceivedAt: e.request.ReceivedAt, Deadline: deadline,
	})
	e.search = &trace
	e.typicalLatency = d.Forwarder.TypicalLatency(e.route)
	switch x := out.(type) {
	case scatter.Merged:
		return d.finish(e, Merged{Records: x.Records, Signatures: x.Signatures, Missing: x.Missing})
	case scatter.NotRun:
		return d.finish(e, NotRun{Reason: x.Reason, RetryAfter: x.RetryAfter})
	case scatter.Failed:
		return d.finish(e, Lost{Reason: x.Reason, Timeout: x.Timeout})
	default:
		panic("dispatch: unknown outcome of a search")
	}
}

func (d *Dispatcher) forward(ctx context.Context, e requestLog, service string, deadline time.Time) Answer {
	if service == "" {
		return d.finish(e, NotRun{Reason: ReasonNoService, RetryAfter: retryAfterUnconfigured})
	}
	out, trace := d.Forwarder.Run(ctx, forward.Job{Service: service, Route: e.route, Request: e.request.Request, Deadline: deadline})
	e.single = &trace
	switch x := out.(type) {
	case forward.Done:
		return d.finish(e, Forwarded{Answer: x.Answer})
	case forward.Failed:
		return d.finish(e, forwardFailure(x))
	case forward.NotRun:
		return d.finish(e, NotRun{Reason: x.Reason, RetryAfter: x.RetryAfter})
	case forward.Lost:
		return d.finish(e, Lost{Reason: x.Reason, Timeout: x.Timeout})
	default:
		panic("dispatch: unknown outcome")
	}
}

// forwardFailure passes the failure of a target through, unless its status would tell the caller that the request did
// not run.
func forwardFailure(f forward.Failed) Answer {
	if f.Answer.Status == http.StatusServiceUnavailable || f.Answer.Signature == "" {
		return Lost{Reason: "targetFailed"}
	}
	return Forwarded{Answer: f.Answer}
}

func (d *Dispatcher) finish(e requestLog, a Answer) Answer {
	elapsed := time.Since(e.request.ReceivedAt)
	label, reason := labelAndReason(a)
	if d.Scope != nil {
		s := d.Scope.Tagged(map[string]string{"route": e.route.Name, "outcome": label})
		s.Counter("requests").Inc(1)
		s.Histogram("latency", latencyBuckets).RecordDuration(elapsed)
	}
	events.RequestEnded.Log(d.Log, e.fields(label, reason, elapsed)...)
	return a
}
