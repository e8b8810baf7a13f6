package forward

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
	"github.com/knapweedpoint/knapweedpoint/internal/targetselect"
)

const (
	// maxSends bounds the sends of one job, including refused ones. A repeatable job of which nothing ran may make more,
	// each after a pause.
	maxSends = 6
	// maxPicks bounds how often another target is picked because the picked one became ineligible meanwhile.
	maxPicks = 8
	// lingerTimeout is how long a send that was overtaken by a hedge may continue so that its connection stays
	// usable. It is longer than a pause of 250 ms at a target and the queue that builds up during it.
	lingerTimeout = 400 * time.Millisecond
	// reportAfterHalfDelays is how many halves of the hedge delay of a call pass before its target is reported as
	// possibly unresponsive.
	reportAfterHalfDelays = 3
	// resendPollInterval is how often a job that waits for a hedge grant checks for it; a grant takes two hops
	// between zones.
	resendPollInterval = 2 * time.Millisecond
	// minBackoff is the shortest wait before targets that are all full are tried again.
	minBackoff = 4 * time.Millisecond
	// maxBackoff bounds the pause, which doubles with each round: a full target frees a slot within tens of milliseconds.
	maxBackoff = 100 * time.Millisecond
	// maxDoublings bounds the doublings of the pause, so that it does not overflow.
	maxDoublings = 8
	// retryAfterFull and retryAfterNoTarget are the retry delays for callers whose request did not run. A queue
	// empties within tens of milliseconds; a target that is gone is published again or replaced within a second.
	retryAfterFull     = 100 * time.Millisecond
	retryAfterNoTarget = 500 * time.Millisecond
)

// run is one job in progress.
type run struct {
	batch    *Batch
	index    int
	job      Job
	inFlight []*flight
	tried    []string
	// attemptsUsed counts the sends that have run or may have run.
	attemptsUsed int
	sends        int
	// rounds counts the pauses so far. full is set if the latest send was refused by a running target.
	rounds  int
	full    bool
	permits permitState
	// lastFailure is the outcome to return when nothing is left to try.
	lastFailure Outcome
	// refusedFor is how long the request is refused because it crashes its targets; 0 if it is not.
	refusedFor time.Duration
	// revoked is set once the job was refused because the caller's authentication was revoked.
	revoked bool
	// outcome is set once the job has ended.
	outcome Outcome
	// hedgeAt is when a hedge is due; retryAt is when full targets are tried again; grantAt is when a retry checks again
	// for its hedge grant. Each is zero when nothing is due.
	hedgeAt, retryAt, grantAt time.Time
	// arrived is set if the send whose retry waits for a grant, or is held, has reached its target.
	arrived bool
	// held is set while a retry waits for an answer of another target to the search.
	held bool
	// hedgeHeld is set while a hedge waits for that.
	hedgeHeld bool
	// waiting is the call in the queue; nil if the job does not wait there. waits is how often it did.
	waiting *waitingCall
	waits   int
	// wasReleased is set while a call that has waited is sent. queueRefused is set once the queue has dropped the call.
	wasReleased, queueRefused bool
	trace                     Trace
}

// flight is one send in flight.
type flight struct {
	run       *run
	target    inventory.Target
	pending   *targetselect.PendingCall
	cancel    context.CancelFunc
	startedAt time.Time
}

type sendResult struct {
	flight *flight
	result targetcall.Result
}

func (r *run) start(now time.Time) Outcome {
	if r.job.AlreadySent && !r.batch.forwarder.Budget.Spend(r.job.Service, now) {
		return NotRun{Reason: ReasonRetryBudget, RetryAfter: retryAfterFull}
	}
	if !r.launch(false, now) {
		return r.failure()
	}
	return nil
}

// ended reports whether the run has nothing to do: its job has ended or is deferred.
func (r *run) ended() bool { return r.outcome != nil || r.job.Deferred }

// due returns when the run has to act next.
func (r *run) due() time.Time {
	at := r.job.Deadline
	for _, t := range []time.Time{r.hedgeAt, r.retryAt, r.grantAt} {
		if !t.IsZero() && t.Before(at) {
			at = t
		}
	}
	if r.waiting != nil && r.waiting.Expires().Before(at) {
		return r.waiting.Expires()
	}
	return at
}

// tick performs the actions that are due. It returns the outcome of the job, or nil while the job continues.
func (r *run) tick(now time.Time) Outcome {
	if !now.Before(r.job.Deadline) {
		return r.timedOut()
	}
	if r.waiting != nil && !now.Before(r.waiting.Expires()) {
		r.leaveQueue(true)
		r.queueRefused = true
		return r.failure()
	}
	if !r.retryAt.IsZero() && !now.Before(r.retryAt) && r.batch.mayCrashTargets() {
		r.retryAt, r.held, r.arrived = time.Time{}, true, true
	}
	if !r.retryAt.IsZero() && !now.Before(r.retryAt) {
		if !r.mayResend() {
			r.retryAt = now.Add(resendPollInterval)
			return nil
		}
		r.retryAt = time.Time{}
		if !r.launch(true, now) {
			return r.failure()
		}
	}
	if !r.grantAt.IsZero() && !now.Before(r.grantAt) {
		r.grantAt = time.Time{}
		if out := r.retry(true, r.arrived, now); out != nil {
			return out
		}
	}
	if !r.hedgeAt.IsZero() && !now.Before(r.hedgeAt) {
		r.hedge(now)
	}
	return nil
}

// launch sends to the best target; allowTried permits targets that have been tried. It returns false when no send is
// possible.
func (r *run) launch(allowTried bool, now time.Time) bool {
	if r.sends >= maxSends && !r.mayKeepTrying() || r.attemptsUsed+len(r.inFlight) >= max(r.job.Route.Attempts, 1) {
		return false
	}
	if r.refused() || r.isRevoked() {
		return false
	}
	if r.permits.waiting {
		r.permits.hedge = false
		return true
	}
	if allowTried {
		r.permits.denied = nil
	}
	for range maxPicks {
		selection, ok := r.pick(allowTried, now)
		if !ok {
			return false
		}
		if r.mustWait(selection) {
			return r.wait(now)
		}
		if r.batch.forwarder.Permits.Required(selection.Target) {
			return r.requestPermit(selection.Target, false, now)
		}
		if r.batch.forwarder.Gate.Admit(selection.Target, now) {
			r.send(selection.Target, now)
			return true
		}
	}
	return false
}

// mayResend reports whether another send is allowed. Job.MayResend decides once an earlier send may have run.
func (r *run) mayResend() bool {
	if r.attemptsUsed+len(r.inFlight) == 0 || r.job.MayResend == nil {
		return true
	}
	return r.job.MayResend()
}

func (r *run) pick(allowTried bool, now time.Time) (targetselect.Selection, bool) {
	f := r.batch.forwarder
	eligible := f.Gate.Eligible(f.Inventory().ByService(r.job.Service), now)
	if !allowTried && len(r.tried) > 0 {
		eligible = lo.Reject(eligible, func(t inventory.Target, _ int) bool { return lo.Contains(r.tried, t.ID) })
	}
	return f.Selector.Pick(r.job.class(), f.Selector.Candidates(r.permits.candidates(f, eligible, now), now), now)
}

func (r *run) send(t inventory.Target, now time.Time) {
	f := r.batch.forwarder
	// The send may outlast the request of the caller: by lingerTimeout, or until its end when it must not be
	// repeated.
	ctx, cancel := context.WithCancel(context.Background())
	fl := &flight{run: r, target: t, pending: f.Selector.Begin(r.job.class(), t, now), cancel: cancel, startedAt: now}
	r.inFlight = append(r.inFlight, fl)
	if f.OnSend != nil {
		f.OnSend(t, r.sends > 0 || r.job.AlreadySent)
	}
	r.tried = append(r.tried, t.ID)
	r.sends++
	r.hedgeAt = now.Add(fl.pending.HedgeDelay())
	call := targetcall.Call{
		Target: t, Request: r.job.Request, Remaining: r.job.Deadline.Sub(now),
		Withdrawn: func() bool { return f.Gate.Withdrawn(t, time.Now()) },
	}
	results := r.batch.results
	// The sender may wait a little for the answer to a cancelled call. Only its notices count.
	stop := context.AfterFunc(ctx, func() {
		fl.pending.End(targetcall.Unknown{Err: ctx.Err()}, true, time.Now())
		f.targetsChanged(t.Service)
	})
	f.Workers.Go(func() {
		result := f.Sender.Send(ctx, call)
		cancelled := !stop()
		notice := f.Gate.Observe(t, result, now, time.Now())
		if f.OnNotice != nil {
			f.OnNotice(t, notice)
		}
		if !cancelled {
			fl.pending.End(result, false, time.Now())
			f.targetsChanged(t.Service)
		}
		f.report(call.Request, t, result, now, cancelled)
		cancel()
		results <- sendResult{flight: fl, result: result}
	})
}

// handleResult processes the result of a send. It returns the outcome of the job, or nil while the job continues.
func (r *run) handleResult(s sendResult, now time.Time) Outcome {
	r.inFlight = lo.Without(r.inFlight, s.flight)
	r.addTrace(s, now)
	if r.outcome != nil {
		return nil
	}
	refusal, refused := s.result.(targetcall.Refused)
	r.full = refused && !refusal.OtherIncarnation
	switch x := s.result.(type) {
	case targetcall.Answered:
		if x.Final() {
			return Done{Answer: x, Target: s.flight.target.ID}
		}
		r.attemptsUsed++
		r.lastFailure = Failed{Answer: x, Target: s.flight.target.ID}
		return r.retry(r.job.Route.Idempotent, true, now)
	case targetcall.Refused:
		return r.retry(true, true, now)
	case targetcall.NotSent:
		return r.retry(true, false, now)
	case targetcall.Unknown:
		r.attemptsUsed++
		if r.lastFailure == nil {
			r.lastFailure = Lost{Reason: ReasonConnectionBroken}
		}
		return r.retry(r.job.Route.Idempotent, true, now)
	default:
		panic("forward: unknown result")
	}
}

// retry starts another send if that is allowed. repeatable is set when the request may be sent again after the last
// result, arrived when the last send reached its target.
func (r *run) retry(repeatable, arrived bool, now time.Time) Outcome {
	if len(r.inFlight) > 0 {
		return nil
	}
	r.hedgeAt = time.Time{}
	if r.batch.stopped {
		return r.failure()
	}
	if !repeatable || r.attemptsUsed >= max(r.job.Route.Attempts, 1) {
		return r.failure()
	}
	if r.batch.mayCrashTargets() {
		r.held, r.arrived = true, arrived
		return nil
	}
	if !r.mayResend() {
		r.grantAt, r.arrived = now.Add(resendPollInterval), arrived
		return nil
	}
	if arrived && !r.batch.forwarder.Budget.Spend(r.job.Service, now) {
		return r.failure()
	}
	return r.tryNext(now)
}

// tryNext sends to a target that has not been tried, or schedules another round over all targets if those that were
// sent to refused the request.
func (r *run) tryNext(now time.Time) Outcome {
	if r.sends < maxSends && r.launch(false, now) {
		return nil
	}
	if r.lastFailure == nil && !r.revoked && r.sends > 0 && (r.sends < maxSends || r.mayKeepTrying()) && !r.allHoldOff(now) && r.backOff(now) {
		return nil
	}
	return r.failure()
}

// backOff schedules another round over targets that were all full. It returns false when there is not enough time.
func (r *run) backOff(now time.Time) bool {
	if f := r.batch.forwarder; f.queuesCalls(r.job.Service) && f.Selector.LearnCapacity {
		if room := f.room(r.job.Service, now); room.Open && !room.Ejected {
			return r.wait(now)
		}
	}
	first := max(r.batch.forwarder.Selector.TypicalLatency(r.job.class())/2, minBackoff)
	left := r.job.Deadline.Sub(now)
	if left < 2*first {
		return false
	}
	wait := min(first<<min(r.rounds, maxDoublings), max(first, maxBackoff), left/2)
	r.rounds++
	r.retryAt = now.Add(wait)
	return true
}

// mayKeepTrying reports whether the job may be sent more than maxSends times: it is repeatable, nothing of it has run, and
// the latest target was full. Targets that are unreachable stay so for longer than a search waits.
func (r *run) mayKeepTrying() bool {
	return r.full && r.job.Route.Idempotent && r.attemptsUsed == 0 && len(r.inFlight) == 0 && r.lastFailure == nil
}

// cancelAll cancels the sends in flight. Sends that must not be repeated run to their end.
func (r *run) cancelAll() {
	r.leaveQueue(false)
	if !r.job.Route.Idempotent {
		return
	}
	for _, fl := range r.inFlight {
		fl.cancel()
	}
	r.inFlight = nil
}

// release lets the overtaken sends continue for lingerTimeout and then cancels them. Sends that must not be repeated
// run to their end.
func (r *run) release() {
	r.leaveQueue(false)
	r.reportUnresponsive(time.Now())
	if !r.job.Route.Idempotent {
		return
	}
	for _, fl := range r.inFlight {
		time.AfterFunc(lingerTimeout, fl.cancel)
	}
}

func (r *run) addTrace(s sendResult, now time.Time) {
	r.trace.Sends = append(r.trace.Sends, SendTrace{
		Target: s.flight.target.ID,
		Result: resultLabel(s.result),
		Millis: sinceMillis(s.flight.startedAt, now),
	})
}

func sinceMillis(startedAt, now time.Time) float64 {
	return float64(now.Sub(startedAt).Microseconds()) / 1000
}

func resultLabel(result targetcall.Result) string {
	switch x := result.(type) {
	case targetcall.Answered:
		return "answered"
	case targetcall.Refused:
		return lo.Ternary(x.OtherIncarnation, "otherIncarnation", "refused")
	case targetcall.NotSent:
		return "notSent: " + x.Err.Error()
	case targetcall.Unknown:
		return "unknown: " + x.Err.Error()
	default:
		return "none"
	}
}
