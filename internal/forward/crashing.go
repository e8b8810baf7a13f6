package forward

import (
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

// refused reports whether the request must not be sent to the service any more because it crashes its targets.
func (r *run) refused() bool {
	f := r.batch.forwarder
	if f.Refuses == nil {
		return false
	}
	wait, refused := f.Refuses(r.job.Request, r.job.Service)
	r.refusedFor = 0
	if refused {
		r.refusedFor = wait
	}
	return refused
}

// observe records what a result says about whether the search crashes its targets.
func (b *Batch) observe(r *run, result targetcall.Result) {
	if !r.job.PartOfSearch {
		return
	}
	switch x := result.(type) {
	case targetcall.Answered:
		b.answered = b.answered || x.Final()
	case targetcall.Unknown:
		b.broken = b.broken || !x.TimedOut
	}
}

// mayCrashTargets reports whether a call of the search has broken and no target has answered it yet.
func (b *Batch) mayCrashTargets() bool { return b.broken && !b.answered }

// probeAfter is the share of the objective after which one hedge is allowed although no target has answered the search. If it is
// answered, the others follow.
const probeAfter = 0.5

// mayHedge reports whether a hedge is allowed. Those of a search wait until a target has answered it, because it may crash the
// targets that run it. For a call of another daemon MayResend has decided that already. A hedge that is not allowed is due again
// once it may be.
func (r *run) mayHedge(now time.Time) bool {
	b := r.batch
	if !r.job.PartOfSearch || b.answered || !b.broken && (r.job.MayResend != nil || len(b.runs) == 1) {
		return true
	}
	probeAt := b.startedAt.Add(time.Duration(probeAfter * float64(r.job.Route.Objective)))
	if now.Before(probeAt) && !b.broken {
		r.hedgeAt = probeAt
		return false
	}
	if b.broken || b.probed {
		r.hedgeAt, r.hedgeHeld = time.Time{}, true
		return false
	}
	b.probed = true
	return true
}

// endHolds lets the runs that hold a retry go on once a target has answered the search. If no target can answer any more, it
// ends them.
func (b *Batch) endHolds(now time.Time) {
	held := false
	for i := range b.runs {
		r := &b.runs[i]
		if r.hedgeHeld && b.answered {
			r.hedgeHeld, r.hedgeAt = false, now
		}
		if !r.ended() && !r.held && b.mayCrashTargets() {
			return
		}
		held = held || r.held
	}
	for i := range b.runs {
		if !held {
			return
		}
		r := &b.runs[i]
		if r.outcome != nil || !r.held {
			continue
		}
		r.held = false
		if b.answered {
			b.finish(r, r.retry(true, r.arrived, now))
		} else {
			b.finish(r, r.failure())
		}
	}
}

// report passes on the result of a send that started at the given time. The answer to a cancelled send counts for nothing
// else than that its target has answered.
func (f *Forwarder) report(r targetcall.Request, t inventory.Target, result targetcall.Result, startedAt time.Time, cancelled bool) {
	_, unknown := result.(targetcall.Unknown)
	switch {
	case !cancelled && f.OnResult != nil:
		f.OnResult(r, t, result, startedAt)
	case cancelled && unknown && f.OnCancelled != nil:
		f.OnCancelled(r, t)
	}
}
