package root

import (
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
	"github.com/knapweedpoint/knapweedpoint/internal/relay"
	"github.com/knapweedpoint/knapweedpoint/internal/replicaselect"
	"github.com/knapweedpoint/knapweedpoint/pkg/caller"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
	"github.com/knapweedpoint/knapweedpoint/pkg/target"
)

// handleReply handles the reply to one sub-request.
func (q *query) handleReply(rep reply) {
	s := q.sends[rep.id]
	if s == nil || s.ended {
		return
	}
	if rep.unacknowledged {
		q.handleUnacknowledged(s, rep)
		return
	}
	s.ended = true
	q.root.targetStats.RecordEnded(s.target)
	rep.result.Target = s.target
	q.root.recordResult(rep.result, rep.arrived)
	if rep.result.Status != peerpb.Status_NOT_RUN {
		q.mayHaveRun = true
		s.part.runs++
	}
	if s.warmUp || s.part.closed {
		return
	}
	switch rep.result.Status {
	case peerpb.Status_DONE:
		q.handleDone(s, rep.result)
	case peerpb.Status_NOT_RUN:
		q.handleNotRun(s, rep.result)
	default:
		q.handleUnknown(s, rep.result)
	}
}

// handleUnacknowledged handles a sub-request that its relay did not acknowledge. If the relay may have received it, its
// result can still arrive.
func (q *query) handleUnacknowledged(s *send, rep reply) {
	if !rep.mayHaveArrived {
		s.ended = true
		q.root.targetStats.RecordEnded(s.target)
		s.part.attempts[s.target]--
		if !s.warmUp && !s.part.closed {
			q.retrySoon(s.part, caller.ReasonNoTarget)
		}
		return
	}
	q.mayHaveRun = true
	if !s.warmUp && !s.part.closed {
		q.launch(s.part)
	}
}

func (q *query) handleDone(s *send, res *peerpb.SubResult) {
	if res.Snapshot != q.snap.Name {
		q.handleUnknown(s, &peerpb.SubResult{Target: s.target, Reason: "snapshotMismatch"})
		return
	}
	q.root.Register.MarkProven(q.fingerprint)
	q.closePart(s.part)
	if q.itemBytes+len(res.Items) > MaxAnswerBytes {
		q.markMissing(s.part, caller.ReasonAnswerTooLarge)
	} else if q.cover(s.part, res) {
		q.itemBytes += len(res.Items)
		q.items = append(q.items, res.Items)
	}
	if q.unproven {
		q.launchAll()
	}
}

// closePart closes an answered part and cancels its other sends.
func (q *query) closePart(p *part) {
	p.closed = true
	q.openParts--
	for _, s := range p.inFlight() {
		s.ended = true
		q.root.targetStats.RecordEnded(s.target)
		q.root.targetStats.RecordWait(s.target, time.Since(s.sentAt), time.Now())
		q.root.Sender.SendCancel(s.relay, s.id)
	}
}

// cover counts the partitions of a result. It returns false if any of them was counted before, because the answer would
// then contain its items twice.
func (q *query) cover(p *part, res *peerpb.SubResult) bool {
	for _, name := range res.Partitions {
		if q.tally.Covered(name) {
			return false
		}
	}
	for _, name := range res.Partitions {
		q.tally.Cover(name)
	}
	q.markMissing(p, target.RefusalPartition)
	return true
}

func (q *query) markMissing(p *part, reason string) {
	for _, x := range p.partitions {
		if !q.tally.Covered(x.Name) {
			q.tally.Miss(x.Name, reason)
		}
	}
}

// handleNotRun sends a refused part elsewhere. The additional send takes nothing from the budget, since the refused one
// put no load on a target, unless the target itself shed it.
func (q *query) handleNotRun(s *send, res *peerpb.SubResult) {
	p := s.part
	p.reason = res.Reason
	now := time.Now()
	switch res.Reason {
	case relay.ReasonDown:
		q.root.targetStats.MarkDown(s.target, now)
	case relay.ReasonQuarantined:
		q.fail(p, caller.ReasonQuarantined)
		return
	case target.RefusalSnapshot, target.RefusalPartition:
		p.attempts[s.target] = maxAttempts
		p.snapshotMissing = len(q.candidates(p, now)) == 0
	case target.RefusalInvalid:
		q.fail(p, res.Reason)
		return
	case relay.ReasonTargetOut, relay.ReasonTargetGone, relay.ReasonLeaving, target.RefusalDraining:
		p.attempts[s.target] = maxAttempts
	case target.RefusalShed:
		q.root.targetStats.MarkShed(s.target, now)
		if !q.root.Budget.Spend() {
			q.failOrNextCanary(p, res.Reason)
			return
		}
	}
	if q.isPlain() && len(p.sends) > 1 {
		q.fail(p, res.Reason)
		return
	}
	q.retrySoon(p, res.Reason)
}

// retrySoon sends the part to an untried replica immediately, or after a backoff to one that was tried before.
func (q *query) retrySoon(p *part, reason string) {
	if len(p.inFlight()) > 0 {
		return
	}
	p.reason = reason
	now := time.Now()
	cs := q.candidates(p, now)
	up := lo.Filter(cs, func(c replicaselect.Candidate, _ int) bool { return !now.Before(c.Stats.DownUntil) })
	fresh := lo.SomeBy(up, func(c replicaselect.Candidate) bool { return c.Attempts == 0 })
	switch {
	case len(up) == 0:
		q.failOrNextCanary(p, reason)
	case q.unproven && len(q.parts) > 1:
		q.replaceCanary(p)
	case fresh:
		q.launch(p)
	default:
		p.retryAt = now.Add(retryBackoff * time.Duration(len(p.sends)))
		q.wakeBy(p.retryAt)
	}
}

// handleUnknown decides whether to run a part again after a send that may have run, and that may have crashed its target.
func (q *query) handleUnknown(s *send, res *peerpb.SubResult) {
	p := s.part
	p.reason = res.Reason
	if res.LostConnection {
		q.reportLoss(p, s, res)
	}
	if res.Reason != relay.ReasonTimedOut {
		q.root.targetStats.MarkDown(s.target, time.Now())
	}
	if q.canaries[p] && q.unproven && res.LostConnection {
		q.canaryLost(p)
		return
	}
	if len(p.inFlight()) > 0 {
		return
	}
	if p.runs > 1 || (!res.LostConnection && !q.isPlain() && !q.root.Budget.Spend()) {
		q.failOrNextCanary(p, res.Reason)
		return
	}
	q.retrySoon(p, res.Reason)
}

// reportLoss reports the request as suspect if it ran alone when the connection was lost.
func (q *query) reportLoss(p *part, s *send, res *peerpb.SubResult) {
	if !q.canaries[p] && p.runs <= 1 {
		return
	}
	suspicion := &peerpb.Suspicion{Fingerprint: q.fingerprint, Target: s.target, Loss: res.Incarnation}
	q.root.Sender.BroadcastSuspicion(suspicion)
}

// runDue starts the canaries, retries and hedges that are due.
func (q *query) runDue() {
	now := time.Now()
	if !q.retryCanaryAt.IsZero() && !now.Before(q.retryCanaryAt) {
		q.retryCanaryAt = time.Time{}
		q.startCanary()
	}
	for _, p := range q.parts {
		if p.closed || !p.started {
			continue
		}
		if !p.retryAt.IsZero() && !now.Before(p.retryAt) {
			p.retryAt = time.Time{}
			q.launch(p)
			continue
		}
		if h := q.hedgeAt(p); !h.IsZero() && !now.Before(h) {
			q.hedge(p, now)
		}
	}
}

// relayOf returns the VM whose relay the target's sub-requests go through.
func (r *Root) relayOf(tree *settings.Tree, tg settings.Target, now time.Time) (string, bool) {
	view := r.Board.View.Get()
	if r.direct() {
		return view.Self, true
	}
	m, ok := r.placement.Relay(view, tree, tg, now)
	return m.Name, ok
}
