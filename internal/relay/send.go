package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/joomcode/errorx"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/coldstart"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/lease"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
	"github.com/knapweedpoint/knapweedpoint/internal/targetnotice"
	"github.com/knapweedpoint/knapweedpoint/pkg/target"
)

// dispatch sends the sub-requests that the target may receive now; every rule is checked at the time of sending.
func (r *Relay) dispatch(ts *targetState) {
	for {
		now := time.Now()
		ts.mu.Lock()
		late := ts.takeExpired(now)
		reason := r.blockedReason(ts, now)
		var blocked, batch []*entry
		var leaseEnd time.Time
		if reason == "" {
			batch, leaseEnd = r.takeNext(ts, now)
		} else {
			blocked, ts.queue = ts.queue, nil
		}
		ts.mu.Unlock()
		for _, e := range late {
			r.refuse(e, ts, lo.Ternary(e.cancelled, ReasonCancelled, ReasonLate))
		}
		for _, e := range blocked {
			r.refuse(e, ts, reason)
		}
		if len(batch) == 0 {
			return
		}
		r.start(ts, batch, leaseEnd)
	}
}

// blockedReason returns why no new work may be sent to the target, or an empty string if it may be sent.
func (r *Relay) blockedReason(ts *targetState, now time.Time) string {
	if len(ts.queue) == 0 {
		return ""
	}
	e := ts.queue[0].request
	reason := r.refusal(&peerpb.SubRequest{Team: e.Team, Service: e.Service, Target: e.Target, NotAfterUs: now.UnixMicro() + 1}, now)
	switch {
	case reason != "":
		return reason
	case ts.notices.blockedReason(now) != "":
		return ts.notices.blockedReason(now)
	case now.Before(ts.downUntil):
		return ReasonDown
	case r.usesLeases() && ts.cold(now) && r.leases.Refused(ts.target.Name, now):
		return ReasonNoLease
	default:
		return ""
	}
}

// takeNext removes and returns the batch to send next and the end of the lease under which it is sent. It returns no
// batch while no slot is free or a required lease is not held.
func (r *Relay) takeNext(ts *targetState, now time.Time) ([]*entry, time.Time) {
	slots, batchLimit := ts.service.Slots, ts.service.BatchLimit
	if r.usesRamp() {
		slots = ts.ramp.Limit(now, ts.service.ColdAllowance, ts.service.Slots)
		batchLimit = ts.ramp.Batch(now, ts.service.BatchLimit)
		if _, warm := ts.ramp.State(now).(coldstart.Warm); warm {
			slots += (slots + 1) / slotsPerQueuedRequest
		}
	}
	if len(ts.queue) == 0 || ts.inFlight >= slots {
		return nil, time.Time{}
	}
	var leaseEnd time.Time
	if r.usesLeases() && ts.cold(now) {
		leaseEnd = r.leases.HeldUntil(ts.target.Name, now)
		if leaseEnd.IsZero() || leaseEnd.Sub(now) < renewLeaseBefore {
			r.requestLease(ts, now)
		}
		if leaseEnd.IsZero() {
			return nil, time.Time{}
		}
	}
	if ts.notices.active().Unanswered() {
		batchLimit = 1
	}
	ts.notices.active().CountSend(now)
	ts.inFlight++
	ts.peakInFlight = max(ts.peakInFlight, ts.inFlight)
	return ts.takeBatch(batchLimit), leaseEnd
}

// slotsPerQueuedRequest is the number of slots of a warm target for which one additional request is sent to wait at the
// target, so that no slot is idle for a round trip. The result is rounded to the nearest, so a target with one slot gets
// none.
const slotsPerQueuedRequest = 3

// renewLeaseBefore is how long before its end a lease in use is renewed.
const renewLeaseBefore = time.Second

// requestLease starts a round of votes on the target's lease, and dispatches the queue again when the round has timed out.
func (r *Relay) requestLease(ts *targetState, now time.Time) {
	name := ts.target.Name
	view := r.Board.View.Get()
	voters := lease.Voters(name, view.Voting())
	round, due := r.leases.StartRound(name, voters, now)
	if !due || !r.Board.Confirmation.Get().ListFresh(now) {
		return
	}
	ask := &peerpb.LeaseAsk{Target: name, Round: round, ListRevision: view.ListRevision}
	r.Group.Go(func() { r.Sender.RequestLease(voters, ask) })
	time.AfterFunc(lease.RoundTimeout+time.Millisecond, func() { r.dispatch(ts) })
}

func (r *Relay) start(ts *targetState, batch []*entry, leaseEnd time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), deadline(batch, leaseEnd))
	armCancel(ts, batch, cancel)
	for _, e := range batch {
		e.expiryTimer.Stop()
	}
	r.mu.Lock()
	r.sends++
	r.mu.Unlock()
	r.Group.Go(func() {
		defer cancel()
		r.run(ctx, ts, batch)
	})
}

func (r *Relay) run(ctx context.Context, ts *targetState, batch []*entry) {
	b := &target.Batch{NotAfter: latestStart(ctx, batch).UnixMicro(), Requests: lo.Map(batch, func(e *entry, i int) target.Request {
		q := e.request
		return target.Request{ID: uint64(i) + 1, Kind: q.Kind, Snapshot: q.Snapshot, Partitions: q.Partitions, Key: q.Key, Body: q.Body}
	})}
	began := time.Now()
	reply, err := r.Runner.Run(ctx, ts.address(), b)
	loss := r.observe(ts, reply, err, began)
	if loss != "" {
		r.reportSuspects(batch, loss)
	}
	for i, e := range batch {
		res := newResult(e, i, reply, err)
		res.Incarnation = lo.CoalesceOrEmpty(loss, res.Incarnation)
		r.addTargetState(res, ts)
		r.Sender.SendResult(e.from, res)
		r.removeEntry(e)
	}
	r.dispatch(ts)
}

// observe updates the target's state after a request and frees the request's slot. If the connection was lost, it returns
// a name that identifies the loss.
func (r *Relay) observe(ts *targetState, reply *target.Reply, err error, began time.Time) string {
	now := time.Now()
	took := now.Sub(began)
	loss := ""
	ts.mu.Lock()
	before := ts.ramp.StateLabel(now)
	ts.inFlight--
	switch {
	case err == nil && reply.Refusal == "":
		ts.recentServiceTime = movingAverage(ts.recentServiceTime, took)
		ts.ramp = ts.ramp.WithReply(coldstart.Reply{
			Incarnation: reply.Incarnation, Cold: reply.Load.Cold, ServiceTime: took, At: now,
		}, ts.service.ColdAllowance, ts.service.Slots)
	case errorx.IsOfType(err, target.Lost), errorx.IsOfType(err, target.NotSent):
		ts.ramp = ts.ramp.WithConnectionLoss()
		ts.downUntil = now.Add(downFor)
	}
	var notice targetnotice.Observation
	if err == nil {
		notice = ts.notices.observe(reply, began, now)
	}
	after := ts.ramp.StateLabel(now)
	name := ts.target.Name
	if errorx.IsOfType(err, target.Lost) {
		ts.losses++
		loss = fmt.Sprintf("%s lost by %s at %d, %d", ts.ramp.Incarnation(), r.Board.View.Get().Self, now.UnixMicro(), ts.losses)
	}
	ts.mu.Unlock()
	r.logChange(name, before, after, err)
	if err == nil {
		r.logNotice(ts, reply, notice)
	}
	return loss
}

func (r *Relay) logChange(name, before, after string, err error) {
	field := zap.String("target", name)
	switch {
	case errorx.IsOfType(err, target.Malformed):
		events.TargetBroke.Log(r.Log, field, zap.Error(err))
	case errorx.IsOfType(err, target.Lost):
		events.TargetLost.Log(r.Log, field)
	}
	switch {
	case before == after:
	case after == "cold":
		events.TargetCold.Log(r.Log, field)
	default:
		events.TargetWarm.Log(r.Log, field)
	}
}

// reportSuspects reports the request that ran alone when the connection to the target was lost.
func (r *Relay) reportSuspects(batch []*entry, loss string) {
	for _, e := range batch {
		if e.request.Alone {
			r.Sender.BroadcastSuspicion(&peerpb.Suspicion{Fingerprint: e.request.Fingerprint, Target: e.request.Target, Loss: loss})
		}
	}
}

// newResult returns the result for the i-th entry of a batch.
func newResult(e *entry, i int, reply *target.Reply, err error) *peerpb.SubResult {
	res := &peerpb.SubResult{Id: e.request.Id, Target: e.request.Target}
	switch {
	case errorx.IsOfType(err, target.NotSent):
		res.Status, res.Reason = peerpb.Status_NOT_RUN, ReasonDown
	case errorx.IsOfType(err, target.Lost):
		res.Reason, res.LostConnection = ReasonLost, true
	case errorx.IsOfType(err, target.TimedOut):
		res.Reason = ReasonTimedOut
	case err != nil:
		res.Reason = ReasonMalformed
	case reply.Refusal != "":
		res.Status, res.Reason = peerpb.Status_NOT_RUN, reply.Refusal
		res.Incarnation = reply.Incarnation
	default:
		res.Incarnation = reply.Incarnation
		copyResult(res, reply.Results[i])
	}
	return res
}

func copyResult(res *peerpb.SubResult, r target.Result) {
	res.Reason = r.Reason
	switch r.Status {
	case target.StatusDone:
		res.Status = peerpb.Status_DONE
	case target.StatusNotRun:
		res.Status = peerpb.Status_NOT_RUN
	}
	res.Snapshot = r.Snapshot
	res.Partitions = r.Partitions
	res.Items = r.Items
}

// recentWeight is the weight of the newest reply in a target's recent service time.
const recentWeight = 0.1

func movingAverage(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(recentWeight*float64(sample-old))
}
