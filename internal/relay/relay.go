package relay

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/lease"
	"github.com/knapweedpoint/knapweedpoint/internal/noticelog"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
	"github.com/knapweedpoint/knapweedpoint/internal/policy"
	"github.com/knapweedpoint/knapweedpoint/internal/quarantine"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
	"github.com/knapweedpoint/knapweedpoint/pkg/target"
)

// Sender sends messages to other daemons.
type Sender interface {
	// SendResult sends the result of a sub-request to the daemon that it came from.
	SendResult(to string, r *peerpb.SubResult)
	// RequestLease sends a request for a target's lease to its voters.
	RequestLease(voters []string, a *peerpb.LeaseAsk)
	// BroadcastSuspicion reports to all daemons a request that was in flight when a target's connection was lost.
	BroadcastSuspicion(s *peerpb.Suspicion)
}

// Relay sends sub-requests to the targets assigned to it.
type Relay struct {
	Board    *blackboard.Board
	Runner   target.Runner
	Register *quarantine.Register
	Sender   Sender
	Group    *sync.WaitGroup
	// Policy defines how targets are reached; nil means policy.Relayed.
	Policy policy.Policy
	Log    *zap.Logger

	leases  lease.Holder
	notices noticelog.Logger
	mu      sync.Mutex
	targets map[string]*targetState
	byID    map[string]*entry
	sends   uint64
}

// Submit queues or refuses a sub-request; exactly one result is sent back to the daemon that it came from.
func (r *Relay) Submit(from string, q *peerpb.SubRequest) {
	now := time.Now()
	e := &entry{from: from, request: q}
	if reason := r.refusal(q, now); reason != "" {
		r.refuse(e, nil, reason)
		return
	}
	sv, tg, _ := r.Board.Tree.Get().FindTarget(q.Team, q.Service, q.Target)
	ts := r.targetState(q.Team, q.Service, sv, tg)
	r.addEntry(e)
	ts.mu.Lock()
	ts.ramp = ts.ramp.WithPeerReport(q.WarmIncarnation, now)
	e.expiryTimer = time.AfterFunc(e.notAfter().Sub(now), func() { r.dispatch(ts) })
	reason, evicted := r.admit(ts, e, now)
	ts.mu.Unlock()
	if reason != "" {
		r.refuse(e, ts, reason)
	}
	if evicted != nil {
		r.refuse(evicted, ts, ReasonQueueFull)
	}
	r.dispatch(ts)
}

// refusal returns why a sub-request must not be sent to its target, or an empty string if it may be sent.
func (r *Relay) refusal(q *peerpb.SubRequest, now time.Time) string {
	tree := r.Board.Tree.Get()
	if tree == nil || !r.fresh(now) {
		return ReasonStaleView
	}
	_, tg, ok := tree.FindTarget(q.Team, q.Service, q.Target)
	switch {
	case !ok:
		return ReasonTargetGone
	case !tree.TargetEligible(tg):
		return ReasonTargetOut
	case now.UnixMicro() >= q.NotAfterUs:
		return ReasonLate
	}
	_, refused := r.Register.Verdict(q.Fingerprint, now).(quarantine.Refused)
	if refused && !policy.Omitted(r.Policy).Quarantine {
		return ReasonQuarantined
	}
	return ""
}

// admit queues the entry. It returns the reason if it refuses the entry, and otherwise the entry that was evicted because
// the queue was full, if any.
func (r *Relay) admit(ts *targetState, e *entry, now time.Time) (string, *entry) {
	if reason := ts.notices.blockedReason(now); reason != "" {
		return reason, nil
	}
	if now.Before(ts.downUntil) {
		return ReasonDown, nil
	}
	limit := ts.service.QueueLimit
	if r.usesRamp() && ts.cold(now) {
		if r.usesLeases() && r.leases.Refused(ts.target.Name, now) {
			r.requestLease(ts, now)
			return ReasonNoLease, nil
		}
		limit = coldQueueFactor * ts.service.ColdAllowance
		if ts.inFlight+len(ts.queue) >= ts.ramp.Limit(now, ts.service.ColdAllowance, ts.service.Slots)+limit {
			return ReasonCold, nil
		}
	}
	if ts.expectedWait() > e.notAfter().Sub(now) {
		return ReasonQueueFull, nil
	}
	return "", ts.enqueue(e, limit)
}

// coldQueueFactor is the queue limit of a cold target as a multiple of its cold allowance.
const coldQueueFactor = 2

func (r *Relay) usesRamp() bool {
	return !policy.Omitted(r.Policy).Ramp
}

func (r *Relay) usesLeases() bool {
	return !policy.Omitted(r.Policy).Lease
}

// fresh reports whether the configuration was confirmed recently enough to send new work.
func (r *Relay) fresh(now time.Time) bool {
	return policy.Omitted(r.Policy).Freshness || r.Board.Confirmation.Get().Fresh(now)
}

func (r *Relay) targetState(team, name string, sv settings.Service, tg settings.Target) *targetState {
	r.mu.Lock()
	defer r.mu.Unlock()
	ts := r.targets[tg.Name]
	if ts == nil {
		ts = &targetState{}
		if r.targets == nil {
			r.targets = map[string]*targetState{}
		}
		r.targets[tg.Name] = ts
	}
	ts.mu.Lock()
	if ts.target.Address != tg.Address {
		ts.notices = notices{}
	}
	ts.team, ts.serviceName, ts.service, ts.target = team, name, sv, tg
	ts.mu.Unlock()
	return ts
}

func entryKey(from string, id uint64) string {
	var b [8]byte
	for i := range b {
		b[i] = byte(id >> (8 * i))
	}
	return from + string(b[:])
}

func (r *Relay) addEntry(e *entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = map[string]*entry{}
	}
	r.byID[entryKey(e.from, e.request.Id)] = e
}

func (r *Relay) removeEntry(e *entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byID, entryKey(e.from, e.request.Id))
}

// Cancel removes a sub-request from the queue, or cancels the request in flight that contains it once none of that
// request's results is needed any more. Bookings are never cancelled.
func (r *Relay) Cancel(from string, id uint64) {
	r.mu.Lock()
	e := r.byID[entryKey(from, id)]
	var ts *targetState
	if e != nil {
		ts = r.targets[e.request.Target]
	}
	r.mu.Unlock()
	if ts == nil || e.request.Kind == settings.KindBooking {
		return
	}
	ts.mu.Lock()
	e.cancelled = true
	cancel := e.cancel
	ts.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	r.dispatch(ts)
}

// DeliverVote counts a vote on a lease and, if the vote was granted, dispatches the sub-requests that wait for the
// lease.
func (r *Relay) DeliverVote(from string, v *peerpb.LeaseVote) {
	r.leases.CountVote(from, v.Target, v.Round, v.Granted)
	r.mu.Lock()
	ts := r.targets[v.Target]
	r.mu.Unlock()
	if ts != nil && v.Granted {
		r.dispatch(ts)
	}
}

// Expire removes expired sub-requests, makes targets cold that accept no work, asks those that are left out by their
// notices whether they have been started anew, and removes the state of idle targets that are no longer published.
func (r *Relay) Expire() {
	tree := r.Board.Tree.Get()
	for _, ts := range r.allTargets() {
		r.dispatch(ts)
		r.checkHealth(ts)
		ts.mu.Lock()
		if !tree.TargetEligible(ts.target) {
			ts.ramp = ts.ramp.WithConnectionLoss()
		}
		idle := ts.inFlight == 0 && len(ts.queue) == 0
		_, _, published := tree.FindTarget(ts.team, ts.serviceName, ts.target.Name)
		name := ts.target.Name
		gone := ts.gone(published, time.Now())
		ts.mu.Unlock()
		if idle && gone {
			r.mu.Lock()
			delete(r.targets, name)
			r.mu.Unlock()
		}
	}
}

func (r *Relay) allTargets() []*targetState {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := make([]*targetState, 0, len(r.targets))
	for _, ts := range r.targets {
		all = append(all, ts)
	}
	return all
}

// Idle reports whether nothing is queued or in flight and each result has been passed to the sender.
func (r *Relay) Idle() bool {
	r.mu.Lock()
	entries := len(r.byID)
	r.mu.Unlock()
	return entries == 0 && !slices.ContainsFunc(r.allTargets(), func(ts *targetState) bool {
		ts.mu.Lock()
		defer ts.mu.Unlock()
		return ts.inFlight > 0 || len(ts.queue) > 0
	})
}

// Sends returns the number of requests sent to targets.
func (r *Relay) Sends() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sends
}

func (r *Relay) refuse(e *entry, ts *targetState, reason string) {
	defer r.removeEntry(e)
	if e.expiryTimer != nil {
		e.expiryTimer.Stop()
	}
	res := &peerpb.SubResult{Id: e.request.Id, Status: peerpb.Status_NOT_RUN, Reason: reason, Target: e.request.Target}
	r.addTargetState(res, ts)
	if reason == ReasonQuarantined {
		events.RequestRefused.Log(r.Log, zap.Uint64("fingerprint", e.request.Fingerprint))
	}
	r.Sender.SendResult(e.from, res)
}

// addTargetState adds the present state of the target to a result.
func (r *Relay) addTargetState(res *peerpb.SubResult, ts *targetState) {
	if ts == nil {
		return
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	now := time.Now()
	res.ServiceUs = ts.recentServiceTime.Microseconds()
	res.Queued = uint32(len(ts.queue) + ts.inFlight)
	res.Cold = r.usesRamp() && ts.cold(now)
	res.RetryAfterMs = (ts.notices.holdWait(now) + time.Millisecond - 1).Milliseconds()
	if res.Incarnation == "" {
		res.Incarnation = ts.ramp.Incarnation()
	}
}

// deadline returns the time up to which a batch may be in flight: its latest deadline, or the end of the lease if earlier.
func deadline(batch []*entry, leaseEnd time.Time) time.Time {
	last := latest(batch, func(e *entry) int64 { return e.request.DeadlineUs })
	if !leaseEnd.IsZero() && leaseEnd.Before(last) {
		return leaseEnd
	}
	return last
}

// latestStart returns the time after which a target must not start a batch.
func latestStart(ctx context.Context, batch []*entry) time.Time {
	last := latest(batch, func(e *entry) int64 { return e.request.NotAfterUs })
	if end, ok := ctx.Deadline(); ok && end.Before(last) {
		return end
	}
	return last
}

func latest(batch []*entry, at func(e *entry) int64) time.Time {
	return time.UnixMicro(lo.Max(lo.Map(batch, func(e *entry, _ int) int64 { return at(e) })))
}

// armCancel makes the batch cancellable: it is cancelled once none of its entries is needed.
func armCancel(ts *targetState, batch []*entry, cancel context.CancelFunc) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for _, e := range batch {
		e.cancel = func() {
			ts.mu.Lock()
			unwanted := !slices.ContainsFunc(batch, func(o *entry) bool { return !o.cancelled })
			ts.mu.Unlock()
			if unwanted {
				cancel()
			}
		}
	}
}
