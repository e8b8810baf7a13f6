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
	maxSends = 6
	// linger is how long a send that lost against a second one may go on, so that its connection stays usable;
	// it is longer than a target's pause of 250 ms and the queue that it leaves.
	linger = 400 * time.Millisecond
	// hintPatience is how many halves of a call's patience pass before others are told of its target.
	hintPatience = 3
	// permissionPoll is how often a job that may not repeat yet asks again; a permission takes two hops between zones.
	permissionPoll = 2 * time.Millisecond
	// minBackoff is the shortest wait before targets that are all full are asked again.
	minBackoff = 4 * time.Millisecond
	// retryWhenFull and retryWhenGone are told to callers whose request did not run: a queue empties within
	// tens of milliseconds; a target that went is published again, or replaced, within a second.
	retryWhenFull = 100 * time.Millisecond
	retryWhenGone = 500 * time.Millisecond
)

// run is one job under way.
type run struct {
	batch  *Batch
	index  int
	job    Job
	flying []*flight
	tried  []string
	// used counts the sends that ran, or may have.
	used  int
	sends int
	// last is the failure to return when nothing is left to try.
	last Outcome
	// outcome is set once the job has ended.
	outcome Outcome
	// hedgeAt is when a second send is due, retryAt when full targets are asked again; zero when neither is.
	hedgeAt time.Time
	retryAt time.Time
	trace   Trace
}

// flight is one send under way.
type flight struct {
	run    *run
	target inventory.Target
	ticket *choice.Ticket
	cancel context.CancelFunc
	begun  time.Time
}

type ended struct {
	flight *flight
	result targetcall.Result
}

func (r *run) start(now time.Time) Outcome {
	if r.job.Again && !r.batch.forwarder.Budget.Spend(r.job.Service, now) {
		return NotRun{Reason: ReasonBudget, RetryAfter: retryWhenFull}
	}
	if !r.launch(false, now) {
		return r.giveUp()
	}
	return nil
}

// due returns when the run must act next.
func (r *run) due() time.Time {
	at := r.job.Until
	for _, t := range []time.Time{r.hedgeAt, r.retryAt} {
		if !t.IsZero() && t.Before(at) {
			at = t
		}
	}
	return at
}

// tick acts on what is due and returns the job's outcome, nil while it goes on.
func (r *run) tick(now time.Time) Outcome {
	if !now.Before(r.job.Until) {
		return r.timedOut()
	}
	if !r.retryAt.IsZero() && !now.Before(r.retryAt) {
		if !r.mayRepeat() {
			r.retryAt = now.Add(permissionPoll)
			return nil
		}
		r.retryAt = time.Time{}
		if !r.launch(true, now) {
			return r.giveUp()
		}
	}
	if !r.hedgeAt.IsZero() && !now.Before(r.hedgeAt) {
		r.hedge(now)
	}
	return nil
}

// launch sends to the best target that was not tried; again allows those that were.
func (r *run) launch(again bool, now time.Time) bool {
	if r.sends >= maxSends || r.used+len(r.flying) >= max(r.job.Route.Attempts, 1) {
		return false
	}
	c, ok := r.pick(again, now)
	if !ok || !r.batch.forwarder.Gate.Enter(c.Target, now) {
		return false
	}
	r.send(c.Target, now)
	return true
}

// mayRepeat reports whether another send is allowed by the job's owner, where an earlier one may have run.
func (r *run) mayRepeat() bool {
	if r.used+len(r.flying) == 0 || r.job.MayRepeat == nil {
		return true
	}
	return r.job.MayRepeat()
}

func (r *run) pick(again bool, now time.Time) (choice.Choice, bool) {
	f := r.batch.forwarder
	open := f.Gate.Allowed(f.Inventory().Of(r.job.Service), now)
	if !again && len(r.tried) > 0 {
		open = lo.Reject(open, func(t inventory.Target, _ int) bool { return lo.Contains(r.tried, t.ID) })
	}
	return f.Book.Pick(r.job.class(), f.Book.Candidates(open, now), now)
}

func (r *run) send(t inventory.Target, now time.Time) {
	f := r.batch.forwarder
	// The send may outlast the job's caller: by linger, or to its end when it must not be repeated.
	ctx, cancel := context.WithCancel(context.Background())
	fl := &flight{run: r, target: t, ticket: f.Book.Begin(r.job.class(), t, now), cancel: cancel, begun: now}
	r.flying = append(r.flying, fl)
	r.tried = append(r.tried, t.ID)
	r.sends++
	r.hedgeAt = now.Add(fl.ticket.Patience())
	call := targetcall.Call{Target: t, Request: r.job.Request, Left: r.job.Until.Sub(now)}
	results := r.batch.results
	f.Workers.Go(func() {
		result := f.Sender.Send(ctx, call)
		cancelled := ctx.Err() != nil
		fl.ticket.End(result, cancelled, time.Now())
		if f.Report != nil && !cancelled {
			f.Report(call.Request, t, result)
		}
		cancel()
		results <- ended{flight: fl, result: result}
	})
}

// take notes one ended send and returns the job's outcome, nil while it goes on.
func (r *run) take(e ended, now time.Time) Outcome {
	r.flying = lo.Without(r.flying, e.flight)
	r.note(e, now)
	if r.outcome != nil {
		return nil
	}
	switch x := e.result.(type) {
	case targetcall.Answered:
		if x.Final() {
			return Done{Answer: x, Target: e.flight.target.ID}
		}
		r.used++
		r.last = Failed{Answer: x, Target: e.flight.target.ID}
		return r.after(r.job.Route.Repeatable, true, now)
	case targetcall.Refused:
		return r.after(true, true, now)
	case targetcall.NotSent:
		return r.after(true, false, now)
	case targetcall.Unknown:
		r.used++
		if r.last == nil {
			r.last = Lost{Reason: ReasonBroken}
		}
		return r.after(r.job.Route.Repeatable, true, now)
	default:
		panic("forward: unknown result")
	}
}

// after starts another send if that is allowed; arrived says that the last one reached its target.
func (r *run) after(mayRepeat, arrived bool, now time.Time) Outcome {
	if len(r.flying) > 0 {
		return nil
	}
	r.hedgeAt = time.Time{}
	if !mayRepeat || r.used >= max(r.job.Route.Attempts, 1) {
		return r.giveUp()
	}
	if !r.mayRepeat() {
		r.retryAt = now.Add(permissionPoll)
		return nil
	}
	if arrived && !r.batch.forwarder.Budget.Spend(r.job.Service, now) {
		return r.giveUp()
	}
	if r.launch(false, now) {
		return nil
	}
	if r.last == nil && r.sends < maxSends && r.backOff(now) {
		return nil
	}
	return r.giveUp()
}

// backOff plans another round over targets that were all full; false when there is no time for one.
func (r *run) backOff(now time.Time) bool {
	wait := max(r.batch.forwarder.Book.Usual(r.job.class())/2, minBackoff)
	if r.job.Until.Sub(now) < 2*wait {
		return false
	}
	r.retryAt = now.Add(wait)
	return true
}

// hedge makes a second send when the first is overdue, another target is free sooner and the budget allows it.
func (r *run) hedge(now time.Time) {
	r.hedgeAt = time.Time{}
	if len(r.flying) == 0 {
		return
	}
	f := r.batch.forwarder
	late := r.flying[len(r.flying)-1]
	r.hint(now)
	if !r.job.Route.Repeatable || len(r.flying) > 1 {
		return
	}
	r.hedgeAt = now.Add(late.ticket.Patience() / 2)
	if r.used+len(r.flying) >= r.job.Route.Attempts || r.sends >= maxSends {
		return
	}
	if !r.mayRepeat() {
		r.hedgeAt = now.Add(permissionPoll)
		return
	}
	c, ok := r.pick(false, now)
	if !ok || c.Expected > now.Sub(late.begun)*2 || f.Book.Down(c.Target, now) {
		return
	}
	if !f.Gate.Enter(c.Target, now) || !f.Budget.Spend(r.job.Service, now) {
		return
	}
	r.trace.Hedged++
	r.send(c.Target, now)
}

// hint tells of the targets whose answers are long overdue: most of those that only miss their patience are just slow.
func (r *run) hint(now time.Time) {
	if r.batch.forwarder.Overdue == nil {
		return
	}
	for _, fl := range r.flying {
		if now.Sub(fl.begun) >= hintPatience*fl.ticket.Patience()/2 {
			r.batch.forwarder.Overdue(fl.target)
		}
	}
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

// abandon cancels what is under way; what must not be repeated runs to its end.
func (r *run) abandon() {
	if !r.job.Route.Repeatable {
		return
	}
	for _, fl := range r.flying {
		fl.cancel()
	}
	r.flying = nil
}

// release lets the sends that lost go on for a while and then cancels them.
func (r *run) release() {
	r.hint(time.Now())
	if !r.job.Route.Repeatable {
		return
	}
	for _, fl := range r.flying {
		time.AfterFunc(linger, fl.cancel)
	}
}

func (r *run) note(e ended, now time.Time) {
	r.trace.Sends = append(r.trace.Sends, Sent{
		Target: e.flight.target.ID,
		Ending: ending(e.result),
		Millis: sinceMillis(e.flight.begun, now),
	})
}

func sinceMillis(begun, now time.Time) float64 {
	return float64(now.Sub(begun).Microseconds()) / 1000
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
