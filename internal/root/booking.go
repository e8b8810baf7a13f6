package root

import (
	"context"
	"time"

	"github.com/google/uuid"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/booking"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
	"github.com/knapweedpoint/knapweedpoint/internal/policy"
	"github.com/knapweedpoint/knapweedpoint/internal/relay"
	"github.com/knapweedpoint/knapweedpoint/internal/rendezvous"
	"github.com/knapweedpoint/knapweedpoint/internal/replicaselect"
	"github.com/knapweedpoint/knapweedpoint/pkg/caller"
	"github.com/knapweedpoint/knapweedpoint/pkg/outcome"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
	"github.com/knapweedpoint/knapweedpoint/pkg/target"
)

const (
	// claimDivisor limits a claim to 1/claimDivisor of the booking's deadline.
	claimDivisor = 3
	// lateResultTimeout is how long after the caller's deadline the result of a booking is still awaited.
	lateResultTimeout = 30 * time.Second
	pollInterval      = 20 * time.Millisecond
)

// attempt is one attempt to run a caller's booking through this daemon.
type attempt struct {
	root      *Root
	request   Question
	tree      *settings.Tree
	team      settings.Team
	group     settings.Group
	id        string
	bodyHash  uint64
	witnesses []string
	deadline  time.Time
}

// book claims the key at its witnesses, runs the booking once and records its outcome.
func (r *Root) book(ctx context.Context, q Question, tree *settings.Tree, team settings.Team, group settings.Group) caller.Answer {
	now := time.Now()
	if !r.Board.Confirmation.Get().ListFresh(now) {
		return notRun(caller.ReasonStaleView)
	}
	a := &attempt{
		root: r, request: q, tree: tree, team: team, group: group, id: uuid.NewString(),
		bodyHash: fingerprint(q), deadline: r.deadline(q),
	}
	a.witnesses = booking.Witnesses(a.recordKey(), r.Board.View.Get().Voting())
	if now.Sub(booking.IssuedAt(q.Key, now, 0)) > booking.MaxKeyAge {
		return a.lookUp(caller.ReasonKeyTooOld)
	}
	if policy.Omitted(r.Policy).Witness {
		return a.run(ctx)
	}
	verdicts := a.claim(a.id, now.Add(q.Deadline/claimDivisor))
	if answer, ended := a.answerWithoutRun(verdicts); ended {
		return answer
	}
	if r.Stop.IsReached() {
		a.sendOutcome(&peerpb.ClaimOutcome{Release: true})
		return notRun(caller.ReasonStopping)
	}
	return a.run(ctx)
}

// BookingOutcome returns the outcome of the booking with the given key, without running the booking.
func (r *Root) BookingOutcome(q Question) caller.Answer {
	if _, refusal := r.ready(); refusal != "" {
		return unknown(refusal)
	}
	if r.Stop.IsReached() {
		return unknown(caller.ReasonStopping)
	}
	a := &attempt{root: r, request: q, deadline: r.Stop.Bound(time.Now().Add(settings.DefaultDeadline))}
	a.witnesses = booking.Witnesses(a.recordKey(), r.Board.View.Get().Voting())
	return a.lookUp(caller.ReasonNoRecord)
}

func (a *attempt) lookUp(noRecordReason string) caller.Answer {
	for _, v := range a.claim("", a.deadline) {
		switch v.Verdict {
		case booking.VerdictEnded:
			return answerOf(v.Outcome)
		case booking.VerdictHeld:
			return unknown(caller.ReasonInProgress)
		}
	}
	return unknown(noRecordReason)
}

// claim sends a claim to all witnesses and returns their verdicts once these are decisive, or at the given time or the end
// of a stop.
// With an empty attempt it only queries what is recorded.
func (a *attempt) claim(attemptID string, until time.Time) []*peerpb.ClaimReply {
	ch := make(chan *peerpb.ClaimReply, len(a.witnesses))
	id := a.root.ids.Add(1)
	a.root.mu.Lock()
	a.root.claims[id] = ch
	a.root.mu.Unlock()
	defer func() {
		a.root.mu.Lock()
		delete(a.root.claims, id)
		a.root.mu.Unlock()
	}()
	now := time.Now()
	c := &peerpb.Claim{
		Id: id, Key: a.recordKey(), Attempt: attemptID, BodyHash: a.bodyHash,
		IssuedAtUs:   booking.IssuedAt(a.request.Key, now, a.margin()).UnixMicro(),
		ListRevision: a.root.Board.View.Get().ListRevision,
	}
	for _, w := range a.witnesses {
		a.root.Sender.SendClaim(w, c)
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	var replies []*peerpb.ClaimReply
	for len(replies) < len(a.witnesses) && !decided(replies) {
		select {
		case v := <-ch:
			replies = lo.UniqBy(append(replies, v), func(v *peerpb.ClaimReply) string { return v.Witness })
		case <-timer.C:
			return replies
		case <-a.root.Stop.Reached():
			return replies
		}
	}
	return replies
}

// recordKey returns the key under which witnesses record the booking; it keeps the keys of different teams and groups
// apart.
func (a *attempt) recordKey() string {
	return a.request.Key + "\x00" + a.request.Team + "\x00" + a.request.Group
}

func (a *attempt) margin() time.Duration {
	return lo.CoalesceOrEmpty(a.root.BookingMargin, booking.DefaultMargin)
}

func countVerdicts(vs []*peerpb.ClaimReply, verdict string) int {
	return lo.CountBy(vs, func(v *peerpb.ClaimReply) bool { return v.Verdict == verdict })
}

func decided(vs []*peerpb.ClaimReply) bool {
	return countVerdicts(vs, booking.VerdictGranted) >= booking.WitnessQuorum ||
		countVerdicts(vs, booking.VerdictEnded) > 0 || countVerdicts(vs, booking.VerdictBodyChanged) > 0
}

// answerWithoutRun returns the answer if the attempt must not run, and releases what was granted to the attempt.
func (a *attempt) answerWithoutRun(vs []*peerpb.ClaimReply) (caller.Answer, bool) {
	ended, found := lo.Find(vs, func(v *peerpb.ClaimReply) bool { return v.Verdict == booking.VerdictEnded })
	var answer caller.Answer
	switch {
	case found:
		answer = answerOf(ended.Outcome)
	case countVerdicts(vs, booking.VerdictBodyChanged) > 0:
		answer = notRun(caller.ReasonBodyChanged)
	case countVerdicts(vs, booking.VerdictGranted) >= booking.WitnessQuorum:
		return answer, false
	case countVerdicts(vs, booking.VerdictHeld) > 0:
		answer = a.awaitOutcome()
	default:
		answer = notRun(caller.ReasonNoWitness)
	}
	a.sendOutcome(&peerpb.ClaimOutcome{Release: true})
	return answer, true
}

// awaitOutcome polls the witnesses until the attempt that holds the key has ended or the deadline is reached.
func (a *attempt) awaitOutcome() caller.Answer {
	for time.Until(a.deadline) > pollInterval && !a.root.Stop.IsReached() {
		time.Sleep(pollInterval)
		answer := a.lookUp(caller.ReasonInProgress)
		if answer.Reason != caller.ReasonInProgress {
			return answer
		}
	}
	return unknown(caller.ReasonInProgress)
}

// sendOutcome reports the outcome of this attempt to every witness.
func (a *attempt) sendOutcome(o *peerpb.ClaimOutcome) {
	o.Key = a.recordKey()
	o.Attempt = a.id
	o.BodyHash = a.bodyHash
	for _, w := range a.witnesses {
		a.root.Sender.SendOutcome(w, o)
	}
}

// run runs the claimed booking, which continues even if the caller disconnects.
func (a *attempt) run(ctx context.Context) caller.Answer {
	done := make(chan caller.Answer, 1)
	a.root.bookings.Add(1)
	a.root.Group.Go(func() {
		defer a.root.bookings.Add(-1)
		a.execute(done)
	})
	select {
	case answer := <-done:
		return answer
	case <-time.After(time.Until(a.deadline)):
	case <-ctx.Done():
	}
	select {
	case answer := <-done:
		return answer
	default:
		events.BookingUnknown.Log(a.root.Log, zap.String("team", a.request.Team))
		return unknown(caller.ReasonDeadline)
	}
}

// execute sends the booking to one target at a time, and to the next only after proof that it has not been run.
func (a *attempt) execute(done chan<- caller.Answer) {
	p := &part{service: a.service(), attempts: map[string]int{}}
	q := &query{root: a.root, request: a.request, tree: a.tree, team: a.team, group: a.group, deadline: a.deadline, rng: a.root.newRand()}
	reason := caller.ReasonNoTarget
	for time.Now().Before(a.deadline) && !a.root.Stop.IsReached() {
		now := time.Now()
		cs := q.candidates(p, now)
		i := replicaselect.Choose(cs, now, q.rng)
		if i < 0 {
			break
		}
		p.attempts[cs[i].Target]++
		res, known := a.send(cs[i], p.service)
		if !known {
			done <- unknown(caller.ReasonConnectionLost)
			return
		}
		if res.Status != peerpb.Status_NOT_RUN {
			a.complete(res, done)
			return
		}
		reason = a.handleNotRun(p, res)
	}
	a.sendOutcome(&peerpb.ClaimOutcome{Release: true})
	done <- notRunFor(q.leftOutReason(p.service, reason, time.Now()))
}

// handleNotRun records why the booking was not run and pauses before the next target, unless its relay sent nothing.
func (a *attempt) handleNotRun(p *part, res *peerpb.SubResult) string {
	switch res.Reason {
	case relay.ReasonDown:
		a.root.targetStats.MarkDown(res.Target, time.Now())
	case relay.ReasonLeaving, target.RefusalDraining, relay.ReasonTargetOut, relay.ReasonTargetGone, target.RefusalInvalid:
		p.attempts[res.Target] = maxAttempts
	}
	if res.Reason != relay.ReasonLeaving && res.Reason != relay.ReasonHoldsOff {
		time.Sleep(retryBackoff)
	}
	return res.Reason
}

// complete reports a result that may have run to the witnesses and answers with it.
func (a *attempt) complete(res *peerpb.SubResult, done chan<- caller.Answer) {
	o := &peerpb.ClaimOutcome{Status: res.Status, Items: res.Items, Reason: res.Reason}
	if o.Status == peerpb.Status_UNKNOWN {
		o.Reason = caller.ReasonConnectionLost
		events.BookingUnknown.Log(a.root.Log, zap.String("team", a.request.Team))
	}
	a.sendOutcome(o)
	done <- answerOf(o)
}

// service returns the service that runs bookings with this key, the same one for each resend.
func (a *attempt) service() string {
	var names []string
	for _, p := range a.group.Snapshots[0].Partitions {
		names = append(names, p.Services...)
	}
	names = lo.Uniq(names)
	return rendezvous.Pick(a.request.Key, names)
}

// send sends the booking to one relay and waits for its result, beyond the caller's deadline if necessary.
func (a *attempt) send(c replicaselect.Candidate, service string) (*peerpb.SubResult, bool) {
	ch := make(chan reply, 2)
	id := a.root.addPending(ch)
	defer a.root.removePending(id)
	a.root.targetStats.RecordSent(c.Target)
	defer a.root.targetStats.RecordEnded(c.Target)
	a.root.Sender.SendRequest(c.Relay, &peerpb.SubRequest{
		Id: id, Team: a.request.Team, Service: service, Target: c.Target, Kind: settings.KindBooking,
		Key: a.request.Key, Body: a.request.Body, NotAfterUs: latestStart(a.deadline, a.request.Deadline), DeadlineUs: a.deadline.UnixMicro(), Fingerprint: a.bodyHash,
		Alone: true, Worth: a.team.Worth, WarmIncarnation: c.Stats.WarmIncarnation, ConfigurationRevision: a.tree.Revision,
	})
	timer := time.NewTimer(time.Until(a.deadline) + lateResultTimeout)
	defer timer.Stop()
	for {
		select {
		case rep := <-ch:
			if !rep.unacknowledged {
				rep.result.Target = c.Target
				a.root.recordResult(rep.result, rep.arrived)
				return rep.result, true
			}
			if !rep.mayHaveArrived {
				return &peerpb.SubResult{Status: peerpb.Status_NOT_RUN, Reason: caller.ReasonNoTarget, Target: c.Target}, true
			}
		case <-timer.C:
			return nil, false
		}
	}
}

// answerOf returns the answer for a recorded outcome.
func answerOf(o *peerpb.ClaimOutcome) caller.Answer {
	switch o.GetStatus() {
	case peerpb.Status_DONE:
		return caller.NewAnswer(outcome.Done{}).WithItems(o.Items)
	case peerpb.Status_NOT_RUN:
		return notRun(o.Reason)
	default:
		return unknown(o.GetReason())
	}
}

// DeliverClaim passes a witness's verdict to the claim that waits for it; a verdict that nothing waits for is dropped.
func (r *Root) DeliverClaim(v *peerpb.ClaimReply) {
	r.mu.Lock()
	ch := r.claims[v.Id]
	r.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case ch <- v:
	default:
	}
}
