package targetselect

import (
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
)

// LatencyWithoutPenalties returns the expected latency of a call to the candidate that would answer soonest; false when
// there is none. The penalties for failures and for other zones rank targets and are no time that a call takes, so they
// are left out.
func (s *Selector) LatencyWithoutPenalties(c Class, candidates []inventory.Target, now time.Time) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var soonest time.Duration
	for i, t := range candidates {
		penalty := failurePenalty * s.record(t).recentFailures(now)
		if t.AvailabilityZone != s.AvailabilityZone {
			penalty += remotePenalty
		}
		e := s.expect(c, t, now) - time.Duration(penalty*float64(s.medianFor(c).median))
		if i == 0 || e < soonest {
			soonest = e
		}
	}
	return soonest, len(candidates) > 0
}

// cancelledFactor is the assumed latency of a late call that was cancelled, as a multiple of the time that it had taken.
// Calls are cancelled at the cutoff of their search. With a factor of 1 their targets would be expected to answer just
// before the cutoff.
const cancelledFactor = 1.5

// addCancelled counts a late call that was cancelled as a sample of its target's latency. Otherwise a target
// whose calls are all cancelled at the cutoff of their searches would seem fast. The caller must hold the selector's mu.
func (p *PendingCall) addCancelled(now time.Time) {
	took := now.Sub(p.started)
	if p.selector.CountsCancelled == nil || !p.selector.CountsCancelled(p.service) || took <= p.hedgeDelay {
		return
	}
	p.record.addRatio(cancelledFactor*float64(took)/(float64(p.selector.medianFor(p.class).median)*(1+p.queueAhead)), p.started, now)
}
