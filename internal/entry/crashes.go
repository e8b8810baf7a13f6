package entry

import (
	"strconv"
	"time"

	"github.com/joomcode/errorx"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/boundedio"
	"github.com/knapweedpoint/knapweedpoint/internal/crashguard"
	"github.com/knapweedpoint/knapweedpoint/internal/crashreport"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/roster"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

// lossesPerRound is the number of losses in the datagrams of one gossip round, at about 100 bytes each.
const lossesPerRound = 12

// Evidence by which the end of a target is noticed, as it appears in logs.
const (
	evidenceRefused   = "connectionRefused"
	evidenceReplaced  = "otherIncarnation"
	evidenceRestarted = "restarted"
	evidenceWithdrawn = "withdrawn"
)

// observeResult updates the crash guard, the rate limits, the logs and the pool with the result of a send.
func (d *Daemon) observeResult(r targetcall.Request, t inventory.Target, result targetcall.Result, startedAt time.Time) {
	now := time.Now()
	d.observeLimit(t, result, startedAt, now)
	switch x := result.(type) {
	case targetcall.Answered:
		d.guard.RecordTargetAnswer(t.ID, now)
		// A failure proves nothing: the deadline may have come before the crash.
		if x.Final() {
			d.requestAnswered(r, t, now)
		}
	case targetcall.Unknown:
		d.logOversized(t, x.Err, now)
		d.callBroken(r, t, x, startedAt, now)
	case targetcall.NotSent:
		if x.Unreachable {
			d.connectFailed(t, x.Err, now)
		}
	case targetcall.Refused:
		if x.OtherIncarnation {
			d.targetLost(t, evidenceReplaced, now)
			return
		}
		d.guard.RecordTargetAnswer(t.ID, now)
	}
}

// observeCancelled records a call that was given up, in case its target has ended.
func (d *Daemon) observeCancelled(r targetcall.Request, t inventory.Target) {
	d.guard.RecordCancelledCall(newLoss(r, t), time.Now())
}

func newLoss(r targetcall.Request, t inventory.Target) crashguard.Loss {
	return crashguard.Loss{Fingerprint: crashguard.Fingerprint(r), Attempt: r.ID, Service: t.Service, Target: t.ID}
}

func (d *Daemon) requestAnswered(r targetcall.Request, t inventory.Target, now time.Time) {
	f := crashguard.Fingerprint(r)
	if d.guard.RecordAnswer(f, t.Service, now) {
		events.SuspicionCleared.Log(d.options.Log, zap.Uint64("fingerprint", f), zap.String("request", r.ID), zap.String("target", t.ID))
		d.crashes.ReportAnswer(f, t.Service)
	}
}

// callBroken records a call that was sent and got no complete answer.
func (d *Daemon) callBroken(r targetcall.Request, t inventory.Target, result targetcall.Unknown, startedAt, now time.Time) {
	l := newLoss(r, t)
	d.logBrokenCall(t, l, result.Err, now)
	record, counts := crashguard.Record{}, false
	if result.TimedOut {
		record, counts = d.guard.RecordTimedOutCall(l, startedAt, now)
	} else {
		record, counts = d.guard.RecordBrokenCall(l, now)
	}
	if counts {
		d.crashes.Report(record)
	}
}

// logOversized logs an oversized answer, at a limited rate per target.
func (d *Daemon) logOversized(t inventory.Target, err error, now time.Time) {
	if errorx.IsOfType(err, boundedio.ErrOversized) && d.oversized.Allow(t.ID, now) {
		events.AnswerOverlong.Log(d.options.Log, zap.String("target", t.ID), zap.String("service", t.Service), zap.Error(err))
	}
}

// logBrokenCall logs a call without a complete answer, at a limited rate per target.
func (d *Daemon) logBrokenCall(t inventory.Target, l crashguard.Loss, err error, now time.Time) {
	if d.brokenCalls.Allow(t.ID, now) {
		events.CallBroken.Log(d.options.Log, zap.Uint64("fingerprint", l.Fingerprint), zap.String("request", l.Attempt),
			zap.String("target", t.ID), zap.String("service", t.Service), zap.Error(err))
	}
}

// connectFailed handles a target that did not accept a connection.
func (d *Daemon) connectFailed(t inventory.Target, err error, now time.Time) {
	if d.connectFailures.Allow(t.ID, now) {
		events.TargetDown.Log(d.options.Log, zap.String("target", t.ID), zap.String("service", t.Service), zap.Error(err))
		d.options.Pool.CloseIdle(t.ID)
	}
	d.targetLost(t, evidenceRefused, now)
}

// targetLost records that a target has terminated, and reports to peers the requests that it was running. The evidence
// says how this was noticed.
func (d *Daemon) targetLost(t inventory.Target, evidence string, now time.Time) {
	losses := d.guard.ConfirmTargetLoss(t.ID, now)
	if evidence == evidenceWithdrawn || evidence == evidenceRestarted {
		// All daemons see this in their copies; the one whose call broke tells those that do not know of the call.
		losses = lo.Reject(losses, func(r crashguard.Record, _ int) bool { return r.FromPeer })
	}
	if len(losses) == 0 {
		return
	}
	for _, l := range losses {
		events.RequestSuspect.Log(d.options.Log, zap.Uint64("fingerprint", l.Fingerprint),
			zap.String("request", l.Attempt), zap.String("target", t.ID), zap.String("evidence", evidence))
	}
	d.crashes.Report(losses...)
}

// mergeLosses counts the losses in a peer's datagram.
func (d *Daemon) mergeLosses(from roster.Member, m *gossippb.Datagram, now time.Time) {
	for _, c := range m.GetCrashes() {
		r := crashreport.DecodeLoss(c, now)
		if d.guard.RecordPeerLoss(r) && (r.Confirmed || d.suspicions.Allow(strconv.FormatUint(r.Fingerprint, 16), now)) {
			events.RequestSuspect.Log(d.options.Log, zap.Uint64("fingerprint", r.Fingerprint), zap.String("request", r.Attempt),
				zap.String("target", r.Target), zap.Bool("confirmed", r.Confirmed), zap.String("source", from.Name))
		}
	}
	for _, c := range m.GetCleared() {
		d.guard.RecordAnswer(c.GetFingerprint(), c.GetService(), now.Add(-time.Duration(c.GetAgeMillis())*time.Millisecond))
	}
}

// gossipedLosses returns the losses of some suspected requests, for daemons that have missed them or started later.
func (d *Daemon) gossipedLosses() []*gossippb.Crash {
	now := time.Now()
	return crashreport.EncodeLosses(d.guard.Losses(lossesPerRound, now), now)
}

// refuses reports whether a request is not sent to a service because it has repeatedly crashed its targets, and for how
// long.
func (d *Daemon) refuses(r targetcall.Request, service string) (time.Duration, bool) {
	if d.guard.Empty() {
		return 0, false
	}
	now := time.Now()
	f := crashguard.Fingerprint(r)
	wait, refused := d.guard.Refuses(f, service, now)
	if refused && d.refusals.Allow(r.ID, now) {
		events.RequestCrashes.Log(d.options.Log, zap.String("request", r.ID), zap.Uint64("fingerprint", f), zap.String("service", service))
	}
	return wait, refused
}

// unansweredLosses returns the targets that were lost while they ran a request that no target has answered.
func (d *Daemon) unansweredLosses(r targetcall.Request) []string {
	if d.guard.Empty() {
		return nil
	}
	now := time.Now()
	f := crashguard.Fingerprint(r)
	lost := d.guard.UnansweredLosses(f, now)
	if len(lost) > 0 && d.trials.Allow(strconv.FormatUint(f, 16), now) {
		events.RequestOnTrial.Log(d.options.Log, zap.String("request", r.ID), zap.Uint64("fingerprint", f), zap.Int("lost", len(lost)))
	}
	return lost
}
