package root

import (
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/pkg/caller"
	"github.com/knapweedpoint/knapweedpoint/pkg/outcome"
)

// finish cancels the sub-requests that are still in flight and stops waiting for their results.
func (q *query) finish() {
	for id, s := range q.sends {
		if s.ended {
			continue
		}
		s.ended = true
		q.root.targetStats.RecordEnded(s.target)
		q.root.targetStats.RecordWait(s.target, time.Since(s.sentAt), time.Now())
		if !s.warmUp {
			q.root.Sender.SendCancel(s.relay, id)
		}
		q.mayHaveRun = true
	}
	q.root.removePending(lo.Keys(q.sends)...)
}

func (q *query) coveredShare() float64 {
	return q.tally.Coverage(q.snap).Share
}

// answer returns the answer with its outcome, snapshot and coverage.
func (q *query) answer() caller.Answer {
	c := q.tally.Coverage(q.snap)
	switch {
	case c.Covered > 0 || len(c.Missing) == 0:
		return caller.NewAnswer(outcome.Done{}).WithItems(merge(q.items)).WithCoverage(q.snap.Name, c)
	case q.mayHaveRun:
		return unknown(q.reason).WithCoverage(q.snap.Name, c)
	default:
		return notRunFor(lo.CoalesceOrEmpty(q.reason, caller.ReasonNoTarget), q.holdWait)
	}
}

const (
	startMargin  = 10 * time.Millisecond
	startDivisor = 10
)

// latestStart returns the latest time, in microseconds since 1970, to start work that must end by the deadline; total
// is how long the request's caller waits in all.
func latestStart(deadline time.Time, total time.Duration) int64 {
	return deadline.Add(-min(startMargin, total/startDivisor)).UnixMicro()
}
