package forward

import "time"

// failure returns the outcome of a job for which nothing is left to try.
func (r *run) failure() Outcome {
	if r.lastFailure != nil {
		return r.lastFailure
	}
	if r.revoked {
		return NotRun{Reason: ReasonRevoked, RetryAfter: minBackoff}
	}
	if r.refusedFor > 0 {
		return NotRun{Reason: ReasonCrashesTargets, RetryAfter: r.refusedFor}
	}
	out := NotRun{Reason: ReasonTargetsFull, RetryAfter: retryAfterFull}
	now := time.Now()
	wait, holding := r.batch.forwarder.HoldWait(r.job.Service)
	switch {
	case r.permits.wasDenied:
		out = NotRun{Reason: ReasonTargetsLimited, RetryAfter: r.permits.retryAfter}
	case r.allHoldOff(now):
		return NotRun{Reason: ReasonTargetsHoldOff, RetryAfter: max(wait, minBackoff)}
	case r.sends == 0 && !r.queueRefused:
		out = NotRun{Reason: ReasonNoTarget, RetryAfter: retryAfterNoTarget}
	}
	if holding {
		out.RetryAfter = min(out.RetryAfter, wait)
	}
	out.RetryAfter = max(out.RetryAfter, minBackoff)
	return out
}

// allHoldOff reports whether no target of the service may receive work now and some have asked for a hold.
func (r *run) allHoldOff(now time.Time) bool {
	f := r.batch.forwarder
	_, holding := f.HoldWait(r.job.Service)
	return holding && len(f.Gate.Eligible(f.Inventory().ByService(r.job.Service), now)) == 0
}

func (r *run) timedOut() Outcome {
	if len(r.inFlight) == 0 && r.attemptsUsed == 0 {
		return NotRun{Reason: ReasonTimeout, RetryAfter: retryAfterFull}
	}
	if r.lastFailure != nil {
		return r.lastFailure
	}
	return Lost{Reason: ReasonTimeout, Timeout: true}
}
