package dispatch

import (
	"context"
	"net/http"
	"time"

	"github.com/samber/lo"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/accountquota"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/grace"
	"github.com/knapweedpoint/knapweedpoint/internal/inflight"
	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
	"github.com/knapweedpoint/knapweedpoint/internal/returntime"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
	"github.com/knapweedpoint/knapweedpoint/internal/scatter"
	"github.com/knapweedpoint/knapweedpoint/internal/shardplan"
	"github.com/knapweedpoint/knapweedpoint/internal/split"
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

// RetryAfterStopping is the retry delay for callers that a stopping daemon refuses. Other daemons can take the request at
// once, and a new connection takes longer than this.
const RetryAfterStopping = 10 * time.Millisecond

// Reasons of answers in addition to those of package forward.
const (
	ReasonUnconfigured = "noConfiguration"
	ReasonNoService    = "noService"
	ReasonStopping     = "stopping"
)

// Dispatcher answers callers. All fields are required unless they are marked as optional.
type Dispatcher struct {
	State     func() platformstate.State
	Forwarder *forward.Forwarder
	Gatherer  *scatter.Gatherer
	Splits    *split.Picker
	// Margin is the answer margin: the time an answer needs to reach the caller.
	Margin time.Duration
	// Grace is the grace period of the daemon. It begins when the daemon is told to stop.
	Grace grace.Period
	// InFlight holds the requests that are being answered.
	InFlight inflight.Register
	// Quota checks the requests of accounts; it is optional.
	Quota *accountquota.Admission
	// RefusesLate reports whether look-ups that are expected to end after their deadline are refused at once. It is optional;
	// without it none is.
	RefusesLate func() bool
	// Planner chooses those that run nevertheless.
	Planner shardplan.Planner
	// Returns schedules the returns of refused callers if RefusesLate does.
	Returns returntime.Schedule
	// Log and Scope are optional.
	Log   *zap.Logger
	Scope tally.Scope

	refusals refusalLog
}

// Handle answers one request. It returns at the latest when the caller or the route stops waiting, when the grace
// period requires the answer, or when ctx is done.
func (d *Dispatcher) Handle(ctx context.Context, r CallerRequest) Answer {
	ctx, release := d.Grace.Bind(ctx)
	defer release()
	state := d.waitConfigured(ctx, r)
	entry := requestLog{request: r, state: state}
	if !state.Configured() {
		return d.finish(entry, NotRun{Reason: ReasonUnconfigured, RetryAfter: retryAfterUnconfigured})
	}
	route, ok := state.OperatorState.Table.Find(r.Request.Host, r.Request.Path)
	if !ok {
		return d.finish(entry, NoRoute{})
	}
	entry.route = route
	if refusal, ok := d.authenticate(&entry); !ok {
		return d.finish(entry, refusal)
	}
	defer d.InFlight.Add(r.Request.ID, route.Name, r.ReceivedAt)()
	deadline, ok := d.Grace.Admit(time.Now(), d.deadline(r, route))
	if !ok {
		return d.finish(entry, NotRun{Reason: ReasonStopping, RetryAfter: RetryAfterStopping})
	}
	if entry.isRevoked() {
		return d.finish(entry, d.refuse(entry, d.State(), ReasonRevokedKey))
	}
	switch x := d.Quota.Admit(entry.account, state.OperatorState.Version()).(type) {
	case accountquota.OverQuota:
		return d.finish(entry, OverQuota{RetryAfter: x.RetryAfter})
	case accountquota.Admitted:
		a := d.send(ctx, entry, deadline)
		switch a.(type) {
		case NotRun, Unauthorized:
			x.GiveBack()
		}
		return a
	default:
		panic("dispatch: unknown decision about a quota")
	}
}

// send sends the request to the destination of its route.
func (d *Dispatcher) send(ctx context.Context, entry requestLog, deadline time.Time) Answer {
	route := entry.route
	switch x := route.Destination.(type) {
	case routetable.Scatter:
		return d.search(ctx, entry, x, deadline)
	case routetable.Split:
		return d.forward(ctx, entry, d.Splits.Pick(route.Host+route.Prefix, x), deadline)
	case routetable.Single:
		return d.forward(ctx, entry, x.Service, deadline)
	default:
		panic("dispatch: unknown destination")
	}
}

// waitConfigured returns the published state. A daemon that has just started waits briefly for its first
// configuration.
func (d *Dispatcher) waitConfigured(ctx context.Context, r CallerRequest) platformstate.State {
	wait := firstConfigurationWait
	if r.Deadline > 0 {
		wait = min(wait, r.Deadline/4)
	}
	state := d.State()
	for !state.Configured() && time.Since(r.ReceivedAt) < wait && ctx.Err() == nil {
		time.Sleep(configurationPollInterval)
		state = d.State()
	}
	return state
}

// deadline returns when the request must be answered so that the answer reaches the caller before it stops waiting.
func (d *Dispatcher) deadline(r CallerRequest, route routetable.Route) time.Time {
	wait := route.Timeout
	if wait <= 0 {
		wait = defaultTimeout
	}
	if r.Deadline > 0 {
		wait = min(wait, max(r.Deadline-d.Margin, r.Deadline/2))
	}
	return r.ReceivedAt.Add(wait)
}

func (d *Dispatcher) search(ctx context.Context, entry requestLog, s routetable.Scatter, deadline time.Time) Answer {
	// Searches of all kinds over the same shards compete for the same targets, so the first shard stands for all.
	service := lo.FirstOrEmpty(s.Shards)
	out, trace := d.Gatherer.Run(ctx, scatter.Search{
		Route: entry.route, Scatter: s, Request: entry.request.Request, ReceivedAt: entry.request.ReceivedAt, Deadline: deadline,
		Revoked: entry.revoked,
	})
	entry.search = &trace
	entry.typicalLatency = d.Forwarder.TypicalLatency(entry.route)
	switch x := out.(type) {
	case scatter.Merged:
		d.Returns.RecordAnswer(service, time.Now())
		return d.finish(entry, Merged{Records: x.Records, Signatures: x.Signatures, Missing: x.Missing})
	case scatter.NotRun:
		return d.finish(entry, d.notRun(entry, service, deadline, NotRun{Reason: x.Reason, RetryAfter: x.RetryAfter}))
	case scatter.Failed:
		return d.finish(entry, Lost{Reason: x.Reason, Timeout: x.Timeout})
	default:
		panic("dispatch: unknown outcome of a search")
	}
}

func (d *Dispatcher) forward(ctx context.Context, entry requestLog, service string, deadline time.Time) Answer {
	if service == "" {
		return d.finish(entry, NotRun{Reason: ReasonNoService, RetryAfter: retryAfterUnconfigured})
	}
	verdict, wait := d.judge(entry.route, service, deadline)
	if verdict == shardplan.Refuse {
		return d.finish(entry, d.notRun(entry, service, deadline, NotRun{Reason: scatter.ReasonDeadline, RetryAfter: wait}))
	}
	out, trace := d.Forwarder.Run(ctx, forward.Job{Service: service, Route: entry.route, Request: entry.request.Request, Deadline: deadline, Revoked: entry.revoked})
	entry.single = &trace
	switch x := out.(type) {
	case forward.Done:
		d.count(verdict == shardplan.Sample, "needlessRefusals")
		d.Returns.RecordAnswer(service, time.Now())
		return d.finish(entry, Forwarded{Answer: x.Answer})
	case forward.Failed:
		return d.finish(entry, forwardFailure(x))
	case forward.NotRun:
		return d.finish(entry, d.notRun(entry, service, deadline, NotRun{Reason: x.Reason, RetryAfter: x.RetryAfter}))
	case forward.Lost:
		return d.finish(entry, Lost{Reason: x.Reason, Timeout: x.Timeout})
	default:
		panic("dispatch: unknown outcome")
	}
}

// judge returns the verdict on a look-up, and how long its callers should wait if it is refused.
func (d *Dispatcher) judge(route routetable.Route, service string, deadline time.Time) (shardplan.Verdict, time.Duration) {
	if d.RefusesLate == nil || !d.RefusesLate() {
		return shardplan.Run, 0
	}
	expected, known := d.Forwarder.ExpectedLatency(route, service)
	left := time.Until(deadline)
	if !known || expected <= left {
		return shardplan.Run, 0
	}
	verdict := d.Planner.Judge([]time.Duration{expected}, left, 1)
	d.count(verdict == shardplan.Refuse, "refusedAtOnce")
	return verdict, expected - left
}

// notRun returns the answer to a request that did not run. If targets lack capacity, the caller gets a time to return at which
// there is some, before its deadline. Other delays, such as a target's own, are passed on.
func (d *Dispatcher) notRun(entry requestLog, service string, deadline time.Time, a NotRun) NotRun {
	if d.RefusesLate == nil || !d.RefusesLate() {
		return a
	}
	switch a.Reason {
	case forward.ReasonTargetsFull, forward.ReasonRetryBudget, forward.ReasonTimeout, scatter.ReasonDeadline:
	default:
		return a
	}
	now, r := time.Now(), entry.request
	if r.Deadline > 0 {
		deadline = r.ReceivedAt.Add(r.Deadline)
	}
	a.RetryAfter = d.Returns.Return(returntime.Refusal{
		Service: service, Priority: entry.route.Priority, Wait: a.RetryAfter, Remaining: deadline.Sub(now),
	}, now)
	return a
}

func (d *Dispatcher) count(happened bool, counter string) {
	if happened && d.Scope != nil {
		d.Scope.Counter(counter).Inc(1)
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

func (d *Dispatcher) finish(entry requestLog, a Answer) Answer {
	if _, notRun := a.(NotRun); notRun && entry.isRevoked() {
		a = d.refuse(entry, d.State(), ReasonRevokedKey)
	}
	elapsed := time.Since(entry.request.ReceivedAt)
	label, reason := labelAndReason(a)
	if d.Scope != nil {
		s := d.Scope.Tagged(map[string]string{"route": entry.route.Name, "outcome": label})
		s.Counter("requests").Inc(1)
		s.Histogram("latency", latencyBuckets).RecordDuration(elapsed)
	}
	events.RequestEnded.Log(d.Log, entry.fields(label, reason, elapsed)...)
	return a
}
