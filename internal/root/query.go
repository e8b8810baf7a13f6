package root

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/admission"
	"github.com/knapweedpoint/knapweedpoint/internal/coverage"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
	"github.com/knapweedpoint/knapweedpoint/internal/policy"
	"github.com/knapweedpoint/knapweedpoint/internal/quarantine"
	"github.com/knapweedpoint/knapweedpoint/internal/replicaselect"
	"github.com/knapweedpoint/knapweedpoint/pkg/caller"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

const (
	retryBackoff       = 5 * time.Millisecond
	replyBufferPerPart = 16
	warmUpProbability  = 0.05
	// maxWaitShare is the share of its remaining time that a query of the highest worth may be expected to wait.
	maxWaitShare = 0.5
)

// query is one read in flight on one pinned snapshot.
type query struct {
	root        *Root
	request     Question
	tree        *settings.Tree
	team        settings.Team
	group       settings.Group
	snap        settings.Snapshot
	fingerprint uint64
	deadline    time.Time
	rng         *rand.Rand

	verdict quarantine.Verdict
	// unproven says that only canaries may be sent so far.
	unproven bool
	canaries map[*part]bool
	// retryCanaryAt is when the query next tries to start another canary.
	retryCanaryAt time.Time
	givenUp       bool
	// nextWake is when the query next has work to do even if no reply arrives.
	nextWake  time.Time
	parts     []*part
	openParts int
	sends     map[uint64]*send
	replies   chan reply
	tally     coverage.Tally
	items     [][]byte
	itemBytes int
	// skipped lists, for each partition, the services that have failed to answer it.
	skipped map[string][]string
	// mayHaveRun says that a target may have run some part.
	mayHaveRun bool
	// snapshotMissing says that for some part no target holds the snapshot.
	snapshotMissing bool
	reason          string
	// holdWait is the time until the first hold ends because of which a part failed.
	holdWait time.Duration
}

func newQuery(r *Root, request Question, tree *settings.Tree, team settings.Team, group settings.Group, snap settings.Snapshot, fp uint64, deadline time.Time) *query {
	return &query{
		root: r, request: request, tree: tree, team: team, group: group, snap: snap, fingerprint: fp, deadline: deadline,
		rng: r.newRand(), sends: map[uint64]*send{}, skipped: map[string][]string{}, canaries: map[*part]bool{},
		nextWake: deadline, verdict: r.Register.Verdict(fp, time.Now()),
	}
}

// run scatters the query and gathers results until every part is closed, the caller disconnects or the deadline passes.
func (r *Root) run(ctx context.Context, q *query) *query {
	q.parts = plan(q.tree, q.team, q.snap, nil)
	q.openParts = len(q.parts)
	q.replies = make(chan reply, replyBufferPerPart*(len(q.snap.Partitions)+len(q.parts)+1))
	defer q.finish()
	q.start()
	timer := time.NewTimer(time.Until(q.nextWake))
	defer timer.Stop()
	for q.openParts > 0 {
		before := q.nextWake
		select {
		case rep := <-q.replies:
			q.handleReply(rep)
			if q.nextWake.Before(before) {
				timer.Reset(time.Until(q.nextWake))
			}
		case <-timer.C:
			if !time.Now().Before(q.deadline) {
				q.giveUp(caller.ReasonDeadline)
				return q
			}
			q.runDue()
			q.nextWake = q.computeWake()
			timer.Reset(time.Until(q.nextWake))
		case <-ctx.Done():
			q.giveUp(caller.ReasonDeadline)
			return q
		}
	}
	return q
}

// start launches all parts at once if the request is proven, and one canary otherwise.
func (q *query) start() {
	_, proven := q.verdict.(quarantine.Proven)
	proven = proven || q.group.SkipCanary || policy.Omitted(q.root.Policy).Canary
	switch {
	case q.overloaded(proven):
		q.giveUp(caller.ReasonOverload)
		return
	case proven:
		q.launchAll()
		return
	}
	q.unproven = true
	q.startCanary()
}

// overloaded reports whether most parts are not expected to be answered within the share of the remaining time that the
// team's worth allows. An unproven query needs that time twice, once for its canary and once for the other parts.
func (q *query) overloaded(proven bool) bool {
	if q.isPlain() {
		return false
	}
	now := time.Now()
	share := admission.Share(q.team.Worth, maxWorth(q.tree))
	left := time.Duration(maxWaitShare * share * float64(q.deadline.Sub(now)))
	if !proven && len(q.parts) > 1 {
		left /= 2
	}
	late := lo.CountBy(q.parts, func(p *part) bool {
		cs := q.candidates(p, now)
		return len(cs) > 0 && !lo.SomeBy(cs, func(c replicaselect.Candidate) bool { return c.Stats.Expected(c.Slots) <= left })
	})
	return 2*late > len(q.parts)
}

func (q *query) isPlain() bool {
	_, plain := q.root.Policy.(policy.Plain)
	return plain
}

func (q *query) launchAll() {
	q.unproven = false
	for _, p := range q.parts {
		if !p.started && !p.closed {
			q.launch(p)
		}
	}
}

// launch sends the part to one of its replicas, more likely to one that is expected to answer soon.
func (q *query) launch(p *part) {
	p.started = true
	now := time.Now()
	cs := q.candidates(p, now)
	i := q.choose(cs, now)
	if i < 0 {
		q.fail(p, lo.CoalesceOrEmpty(p.reason, caller.ReasonNoTarget))
		return
	}
	if len(p.sends) == 0 {
		q.root.Budget.Earn(1)
	}
	q.send(p, cs[i], false)
	q.warmUp(p, cs, i)
}

func (q *query) choose(cs []replicaselect.Candidate, now time.Time) int {
	if q.isPlain() && len(cs) > 0 {
		return q.rng.IntN(len(cs))
	}
	return replicaselect.Choose(cs, now, q.rng)
}

// warmUp sometimes sends a copy of the part to a cold replica, so that the replica can ramp up without delaying the query.
func (q *query) warmUp(p *part, cs []replicaselect.Candidate, chosen int) {
	if q.isPlain() || q.unproven {
		return
	}
	for i, c := range cs {
		if i != chosen && c.Stats.Cold && !cs[chosen].Stats.Cold && q.rng.Float64() < warmUpProbability && q.root.Budget.Spend() {
			q.send(p, c, true)
			return
		}
	}
}

func (q *query) send(p *part, c replicaselect.Candidate, warmUp bool) {
	s := &send{part: p, target: c.Target, relay: c.Relay, sentAt: time.Now(), expected: c.Stats.Expected(c.Slots), warmUp: warmUp}
	s.id = q.root.addPending(q.replies)
	q.sends[s.id] = s
	p.sends = append(p.sends, s)
	p.attempts[c.Target]++
	q.root.targetStats.RecordSent(c.Target)
	q.wakeBy(q.hedgeAt(p))
	q.root.Sender.SendRequest(c.Relay, &peerpb.SubRequest{
		Id: s.id, Team: q.request.Team, Service: p.service, Target: c.Target, Kind: q.request.Kind,
		Snapshot: q.snap.Name, Partitions: p.partitionNames(), Body: q.request.Body,
		NotAfterUs: latestStart(q.deadline, q.request.Deadline), DeadlineUs: q.deadline.UnixMicro(), Fingerprint: q.fingerprint,
		Alone: q.canaries[p] || p.runs > 0, Worth: q.team.Worth,
		WarmIncarnation: c.Stats.WarmIncarnation, ConfigurationRevision: q.tree.Revision,
	})
}

// wakeBy makes the query wake at the given time at the latest; the zero time changes nothing.
func (q *query) wakeBy(at time.Time) {
	if !at.IsZero() && at.Before(q.nextWake) {
		q.nextWake = at
	}
}

// computeWake returns when the query next has work to do even if no reply arrives.
func (q *query) computeWake() time.Time {
	at := q.deadline
	if !q.retryCanaryAt.IsZero() && q.retryCanaryAt.Before(at) {
		at = q.retryCanaryAt
	}
	for _, p := range q.parts {
		if p.closed || !p.started {
			continue
		}
		if !p.retryAt.IsZero() && p.retryAt.Before(at) {
			at = p.retryAt
		}
		if h := q.hedgeAt(p); !h.IsZero() && h.Before(at) {
			at = h
		}
	}
	return at
}

// giveUp closes all open parts without an answer.
func (q *query) giveUp(reason string) {
	q.givenUp = true
	for _, p := range q.parts {
		if !p.closed {
			q.fail(p, lo.CoalesceOrEmpty(p.reason, reason))
		}
	}
	q.openParts = 0
}

// fail closes a part without an answer. Its partitions that other services hold are planned again as new parts.
func (q *query) fail(p *part, reason string) {
	if p.closed {
		return
	}
	p.closed = true
	q.openParts--
	reason, wait := q.leftOutReason(p.service, reason, time.Now())
	q.reason = reason
	q.holdWait = shorter(q.holdWait, wait)
	q.snapshotMissing = q.snapshotMissing || p.snapshotMissing
	var remaining []settings.Partition
	for _, x := range p.partitions {
		if q.tally.Covered(x.Name) {
			continue
		}
		q.tally.Miss(x.Name, reason)
		q.skipped[x.Name] = append(q.skipped[x.Name], p.service)
		if len(q.skipped[x.Name]) < len(x.Services) {
			remaining = append(remaining, x)
		}
	}
	if len(remaining) == 0 || q.givenUp {
		return
	}
	more := plan(q.tree, q.team, settings.Snapshot{Partitions: remaining}, q.skipped)
	q.parts = append(q.parts, more...)
	q.openParts += len(more)
	if !q.unproven {
		q.launchAll()
	}
}
