package relay

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/targetnotice"
	"github.com/knapweedpoint/knapweedpoint/pkg/target"
)

const (
	// maxEarlier bounds the earlier incarnations of a target that are known by name.
	maxEarlier = 16
	// retryHealthAfter is how long an incarnation that only the target's health has named, and that no probe has found, is
	// not tried again: health may be outdated for seconds, and a probe may have met the old process of a handover.
	retryHealthAfter = 30 * time.Second
	// healthTimeout bounds a question for a target's health.
	healthTimeout = 250 * time.Millisecond
	// answerSource is the source of notices that a target gave in a reply.
	answerSource = "answer"
)

// notices holds what a target has announced; its zero value holds nothing.
type notices struct {
	// incarnation is the present one, to which state belongs; adoptedAt is when its first reply arrived.
	incarnation string
	adoptedAt   time.Time
	state       targetnotice.State
	// earlier holds the names of incarnations that are gone.
	earlier []string
	// restarted is set once the target's health has named a new incarnation of which no reply has arrived; the target is
	// then sent probes, and probes is their state.
	restarted bool
	probes    targetnotice.State
	// tried holds the incarnations that the target's health has named of late, and triedAt is when it named the last one.
	tried    []string
	triedAt  time.Time
	checking bool
}

// observe records the notices in a reply to a request that was sent at the given time.
func (n *notices) observe(reply *target.Reply, startedAt, now time.Time) targetnotice.Observation {
	replaced := reply.Incarnation != n.incarnation && !n.state.Empty()
	if !n.adopt(reply.Incarnation, startedAt, now) {
		return targetnotice.Unchanged{}
	}
	n.restarted = n.restarted && startedAt.Before(n.triedAt)
	switch {
	case reply.LeavingSaid():
		return n.state.MarkLeaving(now)
	case reply.RetryAfter > 0:
		return n.state.Hold(reply.RetryAfter, now)
	case reply.Refusal != "" && reply.Unreadable != "":
		return targetnotice.Unchanged{}
	case replaced:
		return targetnotice.Replaced{}
	default:
		return n.state.Answered(startedAt)
	}
}

// adopt makes the incarnation of a reply the present one. It returns false if the reply is a late one of an earlier
// incarnation.
func (n *notices) adopt(incarnation string, startedAt, now time.Time) bool {
	if incarnation == n.incarnation {
		return true
	}
	if startedAt.Before(n.adoptedAt) || slices.Contains(n.earlier, incarnation) {
		return false
	}
	if n.incarnation != "" {
		n.earlier = appendBounded(n.earlier, n.incarnation)
	}
	n.incarnation, n.adoptedAt, n.state = incarnation, now, targetnotice.State{}
	return true
}

func appendBounded(names []string, name string) []string {
	names = append(names, name)
	return names[max(0, len(names)-maxEarlier):]
}

// observeHealth lets probes through if the target's health names an incarnation that has not been heard of. Health may
// be outdated, so only a reply of that incarnation ends the notices, and each name lets probes through once in a while.
func (n *notices) observeHealth(incarnation string, now time.Time) {
	if now.Sub(n.triedAt) >= retryHealthAfter {
		n.tried = nil
	}
	if incarnation == "" || incarnation == n.incarnation || slices.Contains(n.earlier, incarnation) || slices.Contains(n.tried, incarnation) {
		return
	}
	n.tried, n.triedAt = appendBounded(n.tried, incarnation), now
	n.restarted, n.probes = true, targetnotice.HeldUntil(now)
}

// active returns the state that decides whether the target may be sent to.
func (n *notices) active() *targetnotice.State {
	if n.restarted {
		return &n.probes
	}
	return &n.state
}

func (n *notices) standing(now time.Time) targetnotice.Standing { return n.active().Standing(now) }

// blockedReason returns why the target must not be sent to, or an empty string.
func (n *notices) blockedReason(now time.Time) string {
	switch n.standing(now).(type) {
	case targetnotice.Leaving:
		return ReasonLeaving
	case targetnotice.HoldingOff:
		return ReasonHoldsOff
	default:
		return ""
	}
}

// holdWait returns the time until the end of the target's hold, 0 if there is none.
func (n *notices) holdWait(now time.Time) time.Duration {
	if x, ok := n.standing(now).(targetnotice.HoldingOff); ok {
		return x.Until.Sub(now)
	}
	return 0
}

// checkHealth asks a target that is left out whether it has been started anew.
func (r *Relay) checkHealth(ts *targetState) {
	now := time.Now()
	ts.mu.Lock()
	defer ts.mu.Unlock()
	_, published, ok := r.Board.Tree.Get().FindTarget(ts.team, ts.serviceName, ts.target.Name)
	if ts.notices.checking || ts.notices.blockedReason(now) == "" || !ok || published.Address != ts.target.Address || !r.fresh(now) {
		return
	}
	ts.notices.checking = true
	address := ts.target.Address
	r.Group.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
		defer cancel()
		h, err := r.Runner.Health(ctx, address)
		ts.mu.Lock()
		defer ts.mu.Unlock()
		ts.notices.checking = false
		if err == nil && ts.target.Address == address {
			ts.notices.observeHealth(h.Incarnation, time.Now())
		}
	})
}

func (r *Relay) logNotice(ts *targetState, reply *target.Reply, o targetnotice.Observation) {
	ts.mu.Lock()
	name := ts.target.Name
	fields := []zap.Field{
		zap.String("target", name), zap.String("service", ts.serviceName), zap.String("incarnation", reply.Incarnation),
		zap.String("source", answerSource),
	}
	ts.mu.Unlock()
	if reply.Unreadable != "" {
		r.notices.Write(r.Log, name, targetnotice.Rejected{Text: reply.Unreadable}, fields...)
	}
	r.notices.Write(r.Log, name, o, fields...)
}

// LeftOut returns how many targets are leaving and how many have asked for a hold.
func (r *Relay) LeftOut() (leaving, holding int) {
	now := time.Now()
	for _, ts := range r.allTargets() {
		ts.mu.Lock()
		switch ts.notices.blockedReason(now) {
		case ReasonLeaving:
			leaving++
		case ReasonHoldsOff:
			holding++
		}
		ts.mu.Unlock()
	}
	return leaving, holding
}
