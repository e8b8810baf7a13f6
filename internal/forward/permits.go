package forward

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/permit"
	"github.com/knapweedpoint/knapweedpoint/internal/permitclient"
)

// maxPermitRequests bounds the permits that one job requests.
const maxPermitRequests = 8

// permitState is what a job knows of the permits that it has requested. A job requests one permit at a time.
type permitState struct {
	waiting bool
	target  inventory.Target
	// hedge is set if the permit is for a hedge.
	hedge    bool
	requests int
	// denied holds the targets for which a permit was denied. retryAfter is when the first of them may have one.
	denied     []string
	wasDenied  bool
	retryAfter time.Duration
}

// permitDecision is the decision about the permit that the job at an index requested.
type permitDecision struct {
	index    int
	decision permit.Decision
}

// candidates returns the targets that need no permit, or for which one may be available.
func (s *permitState) candidates(f *Forwarder, targets []inventory.Target, now time.Time) []inventory.Target {
	if !lo.SomeBy(targets, f.Permits.Required) {
		return targets
	}
	return lo.Reject(targets, func(t inventory.Target, _ int) bool {
		wait := f.Permits.Denied(t, now)
		if wait > 0 {
			s.addDenial(wait)
		}
		return wait > 0 || slices.Contains(s.denied, t.ID)
	})
}

func (s *permitState) addDenial(retryAfter time.Duration) {
	if !s.wasDenied || retryAfter < s.retryAfter {
		s.retryAfter = retryAfter
	}
	s.wasDenied = true
}

// requestPermit requests a permit for a send to a target. It returns false if the job has requested too many.
func (r *run) requestPermit(t inventory.Target, hedge bool, now time.Time) bool {
	if r.permits.requests >= maxPermitRequests {
		return false
	}
	r.permits.requests++
	r.permits.waiting, r.permits.target, r.permits.hedge = true, t, hedge
	index, decisions := r.index, r.batch.decisions
	r.batch.forwarder.Permits.Acquire(t, r.permitTimeout(t, now), now, func(d permit.Decision) {
		decisions <- permitDecision{index: index, decision: d}
	})
	return true
}

// permitTimeout returns how long the job waits for the permit: longer if no other target can take the request.
func (r *run) permitTimeout(t inventory.Target, now time.Time) time.Duration {
	f := r.batch.forwarder
	others := lo.Reject(f.Gate.Eligible(f.Inventory().ByService(r.job.Service), now), func(o inventory.Target, _ int) bool { return o.ID == t.ID })
	if len(r.permits.candidates(f, others, now)) > 0 {
		return permitclient.HastyTimeout
	}
	return permitclient.PatientTimeout
}

// handleDecision sends to the target if the permit was granted, and otherwise tries another target. It returns the
// outcome of the job, or nil while the job continues.
func (r *run) handleDecision(d permitDecision, now time.Time) Outcome {
	r.permits.waiting = false
	if r.outcome != nil || r.batch.stopped {
		return nil
	}
	t := r.permits.target
	switch x := d.decision.(type) {
	case permit.Granted:
		if r.permits.hedge && len(r.inFlight) > 0 {
			r.sendHedge(t, now)
			return nil
		}
		if !r.refused() && !r.isRevoked() && r.batch.forwarder.Gate.Admit(t, now) {
			r.send(t, now)
			return nil
		}
	case permit.Denied:
		r.permits.addDenial(x.RetryAfter)
	}
	r.permits.denied = append(r.permits.denied, t.ID)
	if len(r.inFlight) > 0 {
		return nil
	}
	return r.tryNext(now)
}
