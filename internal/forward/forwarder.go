package forward

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/permitclient"
	"github.com/knapweedpoint/knapweedpoint/internal/retrybudget"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
	"github.com/knapweedpoint/knapweedpoint/internal/sendgate"
	"github.com/knapweedpoint/knapweedpoint/internal/stoplimit"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
	"github.com/knapweedpoint/knapweedpoint/internal/targetnotice"
	"github.com/knapweedpoint/knapweedpoint/internal/targetselect"
	"github.com/knapweedpoint/knapweedpoint/internal/workers"
)

// Forwarder sends jobs to targets. All fields are required unless they are marked as optional.
type Forwarder struct {
	Sender   targetcall.Sender
	Selector *targetselect.Selector
	Gate     *sendgate.Gate
	Budget   *retrybudget.Budget
	// Permits obtains permits for targets that have a rate limit. It is optional; without it limits are ignored.
	Permits *permitclient.Client
	// Inventory returns the targets that are currently known.
	Inventory func() inventory.Inventory
	// Workers runs the sends, which may outlast their job.
	Workers *workers.Pool
	// Refuses reports whether a request is not sent to a service because it crashes its targets, and for how long. It is
	// optional; without it no request is refused.
	Refuses func(r targetcall.Request, service string) (time.Duration, bool)
	// OnSend is called before each send; additional is set for hedges and retries. It is optional.
	OnSend func(t inventory.Target, additional bool)
	// OnResult is called with the result of each send that started at the given time. It is optional.
	OnResult func(r targetcall.Request, t inventory.Target, result targetcall.Result, startedAt time.Time)
	// OnCancelled is called with each send that was cancelled before its target answered. It is optional.
	OnCancelled func(r targetcall.Request, t inventory.Target)
	// OnNotice is called with what an answer changes about whether its target may be sent to. It is optional.
	OnNotice func(t inventory.Target, o targetnotice.Observation)
	// QueueCalls reports whether calls to a service wait in order of priority while all of its targets that may receive work are
	// at their learned limits. It is optional, and has no effect if the selector learns no capacity.
	QueueCalls func(service string) bool
	// OnUnresponsive is called with a target that may be unresponsive because its answer takes much longer than the
	// hedge delay. It is optional.
	OnUnresponsive func(t inventory.Target)

	waiting waitingCalls
}

// Run runs one job. It returns at the latest when the time of the job is up or when ctx is done: because the caller is
// gone, or because the daemon is about to exit.
func (f *Forwarder) Run(ctx context.Context, j Job) (Outcome, Trace) {
	b := f.Start([]Job{j})
	defer b.Release()
	for {
		for _, r := range b.Next(ctx, time.Time{}) {
			return r.Outcome, r.Trace
		}
		if ctx.Err() != nil {
			timedOut := b.runs[0].timedOut()
			b.Abandon()
			if stoplimit.Reached(ctx) {
				return timedOut, b.runs[0].trace
			}
			return Lost{Reason: ReasonCallerGone}, b.runs[0].trace
		}
	}
}

// TypicalLatency returns the typical latency of a target on a route.
func (f *Forwarder) TypicalLatency(r routetable.Route) time.Duration {
	return f.Selector.TypicalLatency(Job{Route: r}.class())
}

// usable returns the targets of a service that may receive work now, including ejected ones.
func (f *Forwarder) usable(service string, now time.Time) []inventory.Target {
	eligible := f.Gate.Eligible(f.Inventory().ByService(service), now)
	if lo.SomeBy(eligible, f.Permits.Required) {
		return lo.Filter(eligible, func(t inventory.Target, _ int) bool { return f.Permits.Denied(t, now) == 0 })
	}
	return eligible
}

// Zones returns, for each job, the availability zones of its service's targets that may receive work now.
func (f *Forwarder) Zones(jobs []Job) [][]string {
	now, inv := time.Now(), f.Inventory()
	return lo.Map(jobs, func(j Job, _ int) []string {
		eligible := f.Gate.Eligible(inv.ByService(j.Service), now)
		return lo.FilterMap(eligible, func(t inventory.Target, _ int) (string, bool) { return t.AvailabilityZone, !f.Selector.Ejected(t, now) })
	})
}

// HoldWait returns how long it takes until the first of a service's targets that have asked for a hold may be sent to;
// false when there is none.
func (f *Forwarder) HoldWait(service string) (time.Duration, bool) {
	return f.Gate.HoldWait(f.Inventory().ByService(service), time.Now())
}

// Live returns the number of targets of a service that may receive work now, without those in except.
func (f *Forwarder) Live(service string, except []string) int {
	now := time.Now()
	return lo.CountBy(f.Gate.Eligible(f.Inventory().ByService(service), now), func(t inventory.Target) bool {
		return !lo.Contains(except, t.ID) && !f.Selector.Ejected(t, now)
	})
}

// Reachable reports whether any target of the service may receive work now.
func (f *Forwarder) Reachable(service string) bool {
	now := time.Now()
	for _, t := range f.Gate.Eligible(f.Inventory().ByService(service), now) {
		if !f.Selector.Ejected(t, now) && f.Permits.Denied(t, now) == 0 {
			return true
		}
	}
	return false
}
