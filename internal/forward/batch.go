package forward

import (
	"context"
	"time"
)

// Batch is a set of jobs of one request in progress. It must be used by one goroutine only.
type Batch struct {
	forwarder *Forwarder
	runs      []run
	results   chan sendResult
	decisions chan permitDecision
	// released gets the calls that do not wait in the queue any more; it is nil until one has waited.
	released chan *waitingCall
	timer    *time.Timer
	// broken is set once a call of the search has broken, answered once a target has answered it, and probed once a hedge was
	// allowed before that.
	broken, answered, probed bool
	// stopped is set once no more sends are allowed.
	stopped   bool
	startedAt time.Time
	// finished holds the indexes of the runs that have ended and have not been returned yet.
	finished []int
}

// JobResult is a finished job of a batch.
type JobResult struct {
	// Index is the position of the job in the batch.
	Index   int
	Outcome Outcome
	Trace   Trace
}

// Start sends each job to its first target.
func (f *Forwarder) Start(jobs []Job) *Batch {
	b := &Batch{
		forwarder: f,
		runs:      make([]run, len(jobs)),
		results:   make(chan sendResult, len(jobs)*maxSends),
		decisions: make(chan permitDecision, len(jobs)*maxPermitRequests),
		timer:     time.NewTimer(time.Hour),
	}
	now := time.Now()
	b.startedAt = now
	for i, j := range jobs {
		b.runs[i] = run{batch: b, index: i, job: j}
		if !j.AlreadySent && !j.Deferred {
			f.Budget.CountRequest(j.Service, now)
		}
	}
	for i := range b.runs {
		if !b.runs[i].job.Deferred {
			b.finish(&b.runs[i], b.runs[i].start(now))
		}
	}
	return b
}

// Begin starts deferred jobs.
func (b *Batch) Begin(indexes []int) {
	now := time.Now()
	for _, i := range indexes {
		r := &b.runs[i]
		r.job.Deferred = false
		if !r.job.AlreadySent {
			b.forwarder.Budget.CountRequest(r.job.Service, now)
		}
		b.finish(r, r.start(now))
	}
}

// Next returns the next job that has a result, in a slice of one. It returns none when wake passes, unless wake is
// zero, or when ctx is done before that.
func (b *Batch) Next(ctx context.Context, wake time.Time) []JobResult {
	for {
		if result, ok := b.pop(); ok {
			return []JobResult{result}
		}
		b.timer.Reset(time.Until(b.due(wake)))
		select {
		case s := <-b.results:
			r, now := s.flight.run, time.Now()
			b.observe(r, s.result)
			b.finish(r, r.handleResult(s, now))
			b.endHolds(now)
		case d := <-b.decisions:
			r := &b.runs[d.index]
			b.finish(r, r.handleDecision(d, time.Now()))
		case c := <-b.released:
			r, now := &b.runs[c.index], time.Now()
			b.finish(r, r.handleRelease(c, now))
			b.endHolds(now)
		case now := <-b.timer.C:
			if !wake.IsZero() && !now.Before(wake) {
				return nil
			}
			b.tick(now)
			b.endHolds(now)
		case <-ctx.Done():
			return nil
		}
	}
}

func (b *Batch) pop() (JobResult, bool) {
	if len(b.finished) == 0 {
		return JobResult{}, false
	}
	r := &b.runs[b.finished[0]]
	b.finished = b.finished[1:]
	return JobResult{Index: r.index, Outcome: r.outcome, Trace: r.trace}, true
}

// due returns when the batch has to act next.
func (b *Batch) due(wake time.Time) time.Time {
	next := wake
	for i := range b.runs {
		r := &b.runs[i]
		if r.ended() {
			continue
		}
		if at := r.due(); next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

func (b *Batch) tick(now time.Time) {
	for i := range b.runs {
		r := &b.runs[i]
		if !r.ended() && !now.Before(r.due()) {
			b.finish(r, r.tick(now))
		}
	}
}

func (b *Batch) finish(r *run, o Outcome) {
	if o == nil || r.outcome != nil {
		return
	}
	r.leaveQueue(false)
	r.outcome = o
	b.finished = append(b.finished, r.index)
}

// MayHaveRun reports whether a target may run or have run a job.
func (b *Batch) MayHaveRun(index int) bool {
	r := &b.runs[index]
	return r.attemptsUsed+len(r.inFlight) > 0
}

// Stop ends the jobs that have no send in flight. The others end with the result of that send.
func (b *Batch) Stop() {
	b.stopped = true
	for i := range b.runs {
		if r := &b.runs[i]; !r.ended() && len(r.inFlight) == 0 {
			b.finish(r, r.failure())
		}
	}
}

// PendingTrace returns the trace of an unfinished job, including its sends in flight.
func (b *Batch) PendingTrace(index int, now time.Time) Trace {
	r := &b.runs[index]
	t := r.trace
	for _, fl := range r.inFlight {
		t.Sends = append(t.Sends, SendTrace{Target: fl.target.ID, Result: "underWay", Millis: sinceMillis(fl.startedAt, now)})
	}
	return t
}

// Abandon cancels the sends in flight because the caller is gone. Sends that must not be repeated run to their end.
func (b *Batch) Abandon() {
	for i := range b.runs {
		b.runs[i].cancelAll()
	}
}

// Release ends the batch. Sends that were overtaken by a hedge continue for a while.
func (b *Batch) Release() {
	b.timer.Stop()
	for i := range b.runs {
		b.runs[i].release()
	}
}
