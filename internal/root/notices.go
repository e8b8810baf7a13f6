package root

import (
	"slices"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
	"github.com/knapweedpoint/knapweedpoint/internal/relay"
	"github.com/knapweedpoint/knapweedpoint/pkg/caller"
	"github.com/knapweedpoint/knapweedpoint/pkg/outcome"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
	"github.com/knapweedpoint/knapweedpoint/pkg/target"
)

// noticeReasons are the reasons of refusals after which a part may fail because all of its targets are leaving or hold
// off.
var noticeReasons = []string{
	caller.ReasonNoTarget, relay.ReasonDown, relay.ReasonLeaving, relay.ReasonHoldsOff, target.RefusalDraining, target.RefusalShed,
}

// recordResult records what a result says about its target.
func (r *Root) recordResult(res *peerpb.SubResult, now time.Time) {
	r.targetStats.RecordResult(res, now)
	switch {
	case res.RetryAfterMs > 0:
		r.targetStats.MarkHold(res.Target, time.Duration(res.RetryAfterMs)*time.Millisecond, now)
	case res.Reason == relay.ReasonLeaving || res.Reason == target.RefusalDraining:
		r.targetStats.MarkLeaving(res.Target, now)
	}
}

// leftOutReason returns the reason of a failure on a service and, if its targets hold off, the time until the first of
// them may be sent to. It changes the reason only if each target that could be used is leaving or holds off.
func (q *query) leftOutReason(service, reason string, now time.Time) (string, time.Duration) {
	if !slices.Contains(noticeReasons, reason) {
		return reason, 0
	}
	var leaving bool
	var wait time.Duration
	for _, tg := range q.team.Services[service].Targets {
		s := q.root.targetStats.Stats(tg.Name, now)
		switch {
		case !q.tree.TargetEligible(tg) || now.Before(s.DownUntil) && !now.Before(s.LeftOutUntil):
		case !now.Before(s.LeftOutUntil):
			return reason, 0
		case now.Before(s.HoldUntil):
			wait = shorter(wait, s.HoldUntil.Sub(now))
		default:
			leaving = true
		}
	}
	switch {
	case wait > 0:
		return caller.ReasonTargetsHoldOff, wait
	case leaving:
		return caller.ReasonTargetsLeaving, 0
	default:
		return reason, 0
	}
}

// shorter returns the shorter of two times, of which 0 stands for none.
func shorter(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// notRunFor returns the answer to a request that no target ran. A wait for the end of a hold replaces the usual one.
func notRunFor(reason string, wait time.Duration) caller.Answer {
	if reason != caller.ReasonTargetsHoldOff || wait == 0 {
		return notRun(reason)
	}
	return caller.NewAnswer(outcome.NotRun{Reason: reason, RetryAfter: (wait + time.Millisecond - 1).Truncate(time.Millisecond)})
}

// selectable reports whether the target may be selected: it accepts new work and is neither leaving nor holding off.
func (q *query) selectable(tg settings.Target, now time.Time) bool {
	return q.tree.TargetEligible(tg) && !now.Before(q.root.targetStats.Stats(tg.Name, now).LeftOutUntil)
}
