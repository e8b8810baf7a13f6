package root

import (
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/replicaselect"
)

// hedgeAt returns when the part is due to be hedged on another replica, or the zero time for never.
func (q *query) hedgeAt(p *part) time.Time {
	inFlight := p.inFlight()
	if q.isPlain() || p.hedged || len(inFlight) != 1 || len(q.team.Services[p.service].Targets) < 2 {
		return time.Time{}
	}
	return inFlight[0].sentAt.Add(max(MinHedgeDelay, replicaselect.HedgeFactor*inFlight[0].expected))
}

func (q *query) hedge(p *part, now time.Time) {
	p.hedged = true
	if q.unproven {
		q.addCanary(p, now)
		return
	}
	s := p.inFlight()[0]
	waited := now.Sub(s.sentAt)
	q.root.targetStats.RecordWait(s.target, waited, now)
	cs := q.candidates(p, now)
	i := replicaselect.Choose(cs, now, q.rng)
	if i < 0 || !replicaselect.ShouldHedge(cs[i], waited, now) || !q.root.Budget.Spend() {
		return
	}
	q.send(p, cs[i], false)
}
