package forward

import (
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
)

// hedge makes an additional send when the latest one has exceeded its hedge delay. The route must be repeatable, no
// other hedge may be in flight, another target must be expected to answer within twice the time elapsed so far, and the
// attempts, the gate and the retry budget must allow the send. Targets that may be unresponsive are reported in any
// case.
func (r *run) hedge(now time.Time) {
	r.hedgeAt = time.Time{}
	if len(r.inFlight) == 0 || r.batch.stopped {
		return
	}
	f := r.batch.forwarder
	latest := r.inFlight[len(r.inFlight)-1]
	r.reportUnresponsive(now)
	if !r.job.Route.Idempotent || len(r.inFlight) > 1 || r.permits.waiting {
		return
	}
	r.hedgeAt = now.Add(latest.pending.HedgeDelay() / 2)
	if r.attemptsUsed+len(r.inFlight) >= r.job.Route.Attempts || r.sends >= maxSends {
		return
	}
	if !r.mayHedge(now) {
		return
	}
	if !r.mayResend() {
		r.hedgeAt = now.Add(resendPollInterval)
		return
	}
	if r.refused() {
		return
	}
	selection, ok := r.pick(false, now)
	if !ok || selection.Expected > now.Sub(latest.startedAt)*2 || f.Selector.Ejected(selection.Target, now) {
		return
	}
	// A hedge would take the slot of another call.
	if selection.Full || f.waiting.busy(r.job.Service) {
		return
	}
	if f.Permits.Required(selection.Target) {
		r.requestPermit(selection.Target, true, now)
		return
	}
	r.sendHedge(selection.Target, now)
}

// sendHedge sends to another target if the gate and the retry budget allow it.
func (r *run) sendHedge(t inventory.Target, now time.Time) {
	f := r.batch.forwarder
	if r.refused() || !f.Gate.Admit(t, now) || !f.Budget.Spend(r.job.Service, now) {
		return
	}
	r.trace.Hedged++
	r.send(t, now)
}

// reportUnresponsive reports the targets whose answers take much longer than the hedge delay. Most targets that
// exceed it by less are merely slow and are not reported.
func (r *run) reportUnresponsive(now time.Time) {
	if r.batch.forwarder.OnUnresponsive == nil {
		return
	}
	for _, fl := range r.inFlight {
		if now.Sub(fl.startedAt) >= reportAfterHalfDelays*fl.pending.HedgeDelay()/2 {
			r.batch.forwarder.OnUnresponsive(fl.target)
		}
	}
}
