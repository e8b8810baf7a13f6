package root

import (
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/quarantine"
	"github.com/knapweedpoint/knapweedpoint/internal/replicaselect"
	"github.com/knapweedpoint/knapweedpoint/pkg/caller"
)

// An unproven request runs alone on one target before it is sent to all, so that a request that crashes its targets
// reaches few of them (Dean and Barroso, "The Tail at Scale", 2013).
const (
	// maxCanaries limits the number of targets on which an unproven query may be in flight.
	maxCanaries = quarantine.RefuseThreshold
	// minUsable is the number of usable replicas that a service must have for a suspect request to run there.
	minUsable = 2
)

func (q *query) suspected() bool {
	_, suspect := q.root.Register.Verdict(q.fingerprint, time.Now()).(quarantine.Suspect)
	return suspect
}

// startCanary launches one part alone: the one whose chosen replica is expected to answer first.
func (q *query) startCanary() {
	now := time.Now()
	suspect := q.suspected()
	var pick *part
	best := time.Duration(0)
	for _, p := range q.parts {
		if p.closed || p.started || now.Before(p.canaryNotBefore) || (suspect && q.usableTargets(p.service, now) < minUsable) {
			continue
		}
		cs := q.candidates(p, now)
		i := replicaselect.Choose(cs, now, q.rng)
		if i < 0 || now.Before(cs[i].Stats.DownUntil) {
			continue
		}
		if e := cs[i].Stats.Expected(cs[i].Slots); pick == nil || e < best {
			pick, best = p, e
		}
	}
	switch {
	case pick != nil:
		q.canaries[pick] = true
		q.launch(pick)
	case q.canaryRunning():
	case q.canaryDelayed(now):
		q.retryCanaryAt = now.Add(retryBackoff)
		q.wakeBy(q.retryCanaryAt)
	default:
		q.giveUp(lo.Ternary(suspect, caller.ReasonQuarantined, caller.ReasonNoTarget))
	}
}

func (q *query) canaryDelayed(now time.Time) bool {
	return lo.SomeBy(q.parts, func(p *part) bool { return !p.closed && !p.started && now.Before(p.canaryNotBefore) })
}

func (q *query) canaryRunning() bool {
	return lo.SomeBy(q.parts, func(p *part) bool { return p.started && !p.closed })
}

// replaceCanary resets a part whose canary was not run and launches another part in its place.
func (q *query) replaceCanary(p *part) {
	p.started = false
	delete(q.canaries, p)
	p.canaryNotBefore = time.Now().Add(retryBackoff)
	q.startCanary()
}

// addCanary runs a second canary when the first is slow: on another service, or on a third replica of the same one.
func (q *query) addCanary(p *part, now time.Time) {
	if q.suspected() || len(q.canaries) >= maxCanaries {
		return
	}
	if len(q.parts) > 1 {
		q.startCanary()
		return
	}
	if q.usableTargets(p.service, now) > minUsable && q.root.Budget.Spend() {
		q.launch(p)
	}
}

// canaryLost closes the part whose target was lost. The request runs alone once more if enough replicas are left.
func (q *query) canaryLost(p *part) {
	if _, refused := q.root.Register.Verdict(q.fingerprint, time.Now()).(quarantine.Refused); refused {
		q.giveUp(caller.ReasonQuarantined)
		return
	}
	if q.usableTargets(p.service, time.Now()) >= minUsable {
		q.parts = append(q.parts, &part{service: p.service, partitions: p.partitions, attempts: p.attempts})
		q.openParts++
	}
	q.fail(p, caller.ReasonConnectionLost)
	q.startCanary()
}

// failOrNextCanary closes a part without an answer; while the request is unproven, it launches another part as a canary.
func (q *query) failOrNextCanary(p *part, reason string) {
	q.fail(p, reason)
	if q.unproven && q.openParts > 0 {
		q.startCanary()
	}
}
