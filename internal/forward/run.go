package forward

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/choice"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

const (
	// maxSends bounds the sends of one job, refused ones counted.
	maxSends = 8
	// linger is how long a send that lost against a second one may go on, so that its connection stays usable;
	// it is longer than a target's pause of 200 ms.
	linger = 300 * time.Millisecond
	// minBackoff is the shortest wait before targets that are all full are asked again.
	minBackoff = 4 * time.Millisecond
	// retryWhenFull and retryWhenGone are told to callers whose request did not run: a queue empties within
	// tens of milliseconds; a target that went is published again, or replaced, within a second.
	retryWhenFull = 100 * time.Millisecond
	retryWhenGone = 500 * time.Millisecond
)

// run is one job under way; only the goroutine of loop uses it.
type run struct {
	forwarder *Forwarder
	job       Job
	results   chan ended
	flying    []*flight
	tried     map[string]bool
	// used counts the sends that ran, or may have.
	used  int
	sends int
	// last is the best failure so far.
	last   Outcome
	hedgeT *time.Timer
	trace  Trace
}

// flight is one send under way.
type flight struct {
	target inventory.Target
	ticket *choice.Ticket
	cancel context.CancelFunc
	begun  time.Time
}

type ended struct {
	flight *flight
	result targetcall.Result
}

func (r *run) loop(ctx context.Context) Outcome {
	timeout := time.NewTimer(time.Until(r.job.Until))
	defer timeout.Stop()
	r.hedgeT = time.NewTimer(time.Hour)
	defer r.hedgeT.Stop()
	if !r.launch(false) {
		return r.giveUp()
	}
	for {
		select {
		case e := <-r.results:
			if out := r.take(e); out != nil {
				return out
			}
		case <-r.hedgeT.C:
			r.hedge()
		case <-timeout.C:
			return r.timedOut()
		case <-ctx.Done():
			r.abandon()
			return Lost{Reason: ReasonCaller}
		}
	}
}

// launch sends to the best target that was not tried; again allows those that were.
func (r *run) launch(again bool) bool {
	if r.sends >= maxSends || r.used+len(r.flying) >= max(r.job.Route.Attempts, 1) {
		return false
	}
	now := time.Now()
	c, ok := r.pick(again, now)
	if !ok || !r.forwarder.Gate.Enter(c.Target, now) {
		return false
	}
	r.send(c.Target, now)
	return true
}

func (r *run) pick(again bool, now time.Time) (choice.Choice, bool) {
	f := r.forwarder
	open := f.Gate.Allowed(f.Inventory().Of(r.job.Service), now)
	if !again {
		open = lo.Reject(open, func(t inventory.Target, _ int) bool { return r.tried[t.ID] })
	}
	up := lo.Reject(open, func(t inventory.Target, _ int) bool { return f.Book.Down(t.ID, now) })
	if len(up) > 0 {
		open = up
	}
	return f.Book.Pick(r.job.class(), open, now)
}

func (r *run) send(t inventory.Target, now time.Time) {
	f := r.forwarder
	// The send may outlast the job's caller only by linger, or run to its end when it must not be repeated.
	ctx, cancel := context.WithDeadline(context.Background(), r.job.Until)
	fl := &flight{target: t, ticket: f.Book.Begin(r.job.class(), t, now), cancel: cancel, begun: now}
	r.flying = append(r.flying, fl)
	r.tried[t.ID] = true
	r.sends++
	call := targetcall.Call{Target: t, Request: r.job.Request, Left: r.job.Until.Sub(now)}
	results := r.results
	f.Group.Go(func() error {
		result := f.Sender.Send(ctx, call)
		fl.ticket.End(result, ctx.Err() != nil, time.Now())
		if f.Report != nil && ctx.Err() == nil {
			f.Report(t, result)
		}
		cancel()
		results <- ended{flight: fl, result: result}
		return nil
	})
	r.hedgeT.Reset(fl.ticket.Patience())
}

// take notes one ended send and returns the job's outcome, nil while it goes on.
func (r *run) take(e ended) Outcome {
	r.flying = lo.Without(r.flying, e.flight)
	r.note(e)
	switch x := e.result.(type) {
	case targetcall.Answered:
		if x.Final() {
			return Done{Answer: x, Target: e.flight.target.ID}
		}
		r.used++
		r.last = Failed{Answer: x, Target: e.flight.target.ID}
		return r.after(r.job.Route.Repeatable, true)
	case targetcall.Refused:
		return r.after(true, true)
	case targetcall.NotSent:
		return r.after(true, false)
	case targetcall.Unknown:
		r.used++
		if r.last == nil {
			r.last = Lost{Reason: ReasonBroken}
		}
		return r.after(r.job.Route.Repeatable, true)
	default:
		panic("forward: unknown result")
	}
}

// after starts another send if that is allowed; arrived says that the last one reached its target.
func (r *run) after(mayRepeat, arrived bool) Outcome {
	if len(r.flying) > 0 {
		return nil
	}
	if !mayRepeat {
		return r.giveUp()
	}
	if arrived && !r.forwarder.Budget.Spend(r.job.Service, time.Now()) {
		return r.giveUp()
	}
	if r.launch(false) {
		return nil
	}
	if r.last == nil && r.sends < maxSends && r.backOff() && r.launch(true) {
		return nil
	}
	return r.giveUp()
}

// backOff waits until a full target may have a slot; false when the objective would pass meanwhile.
func (r *run) backOff() bool {
	wait := max(r.forwarder.Book.Usual(r.job.class())/2, minBackoff)
	if time.Until(r.job.Until) < 2*wait {
		return false
	}
	time.Sleep(wait)
	return true
}

// hedge makes a second send when the first is overdue, another target is free sooner and the budget allows it.
func (r *run) hedge() {
	if len(r.flying) == 0 {
		return
	}
	now := time.Now()
	late := r.flying[len(r.flying)-1]
	if r.forwarder.Overdue != nil {
		r.forwarder.Overdue(late.target)
	}
	if !r.job.Route.Repeatable || len(r.flying) > 1 {
		return
	}
	r.hedgeT.Reset(late.ticket.Patience() / 2)
	if r.used+len(r.flying) >= r.job.Route.Attempts || r.sends >= maxSends {
		return
	}
	c, ok := r.pick(false, now)
	if !ok || c.Expected > now.Sub(late.begun)*2 || r.forwarder.Book.Down(c.Target.ID, now) {
		return
	}
	if !r.forwarder.Gate.Enter(c.Target, now) || !r.forwarder.Budget.Spend(r.job.Service, now) {
		return
	}
	r.trace.Hedged++
	r.send(c.Target, now)
}

func (r *run) giveUp() Outcome {
	if r.last != nil {
		return r.last
	}
	if r.sends == 0 {
		return NotRun{Reason: ReasonNoTarget, RetryAfter: retryWhenGone}
	}
	return NotRun{Reason: ReasonFull, RetryAfter: retryWhenFull}
}

func (r *run) timedOut() Outcome {
	if len(r.flying) == 0 && r.used == 0 {
		return NotRun{Reason: ReasonTimeout, RetryAfter: retryWhenFull}
	}
	if r.last != nil {
		return r.last
	}
	return Lost{Reason: ReasonTimeout, Timeout: true}
}

// abandon cancels what is under way because the caller left; what must not be repeated runs to its end.
func (r *run) abandon() {
	if !r.job.Route.Repeatable {
		r.flying = nil
		return
	}
	for _, fl := range r.flying {
		fl.cancel()
	}
}

// release lets the sends that lost go on for a while and then cancels them.
func (r *run) release() {
	if !r.job.Route.Repeatable {
		return
	}
	for _, fl := range r.flying {
		time.AfterFunc(linger, fl.cancel)
	}
}

func (r *run) note(e ended) {
	r.trace.Sends = append(r.trace.Sends, Sent{
		Target: e.flight.target.ID,
		Ending: ending(e.result),
		Millis: float64(time.Since(e.flight.begun).Microseconds()) / 1000,
	})
}

func ending(result targetcall.Result) string {
	switch x := result.(type) {
	case targetcall.Answered:
		return "answered"
	case targetcall.Refused:
		return lo.Ternary(x.Elsewhere, "otherIncarnation", "refused")
	case targetcall.NotSent:
		return "notSent: " + x.Err.Error()
	case targetcall.Unknown:
		return "unknown: " + x.Err.Error()
	default:
		return "none"
	}
}
