package storesync

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/samber/lo"
)

const (
	// callTimeout is the timeout of one call while the store answers. The store responds in 4 ms, and two calls must fit
	// into the part of the drain bound that readAge leaves.
	callTimeout = 400 * time.Millisecond
	// lostTimeout is the timeout of one call while the store is lost. It is long because the store may merely be slow.
	lostTimeout = 3200 * time.Millisecond
	// readerProbeInterval, fallbackProbeInterval and probeInterval are the maximum times between the starts of two reads
	// while the store is lost, whether or not the earlier read is still waiting: those of the store reader, of its
	// fallbacks, and of the other daemons, which are mostly told by these. A daemon without a configuration, which cannot
	// serve requests, reads at startProbeInterval.
	readerProbeInterval   = 400 * time.Millisecond
	fallbackProbeInterval = 800 * time.Millisecond
	probeInterval         = 1500 * time.Millisecond
	startProbeInterval    = 500 * time.Millisecond
	// probeJitter is the largest share by which an interval is shortened, so that daemons do not probe in step.
	probeJitter = 0.1
	// fallbackRanks is the number of daemons of the lowest ranks: the reader and its fallbacks.
	fallbackRanks = 3
	// maxReads limits the reads in progress: one that waits for a slow store, and a probe beside it, since a call that a
	// silent store received is never answered.
	maxReads = 2
	// firstBackoff and maxBackoff limit the backoff after a failed read.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// startBackoff is the backoff of a daemon that has no configuration yet.
	startBackoff = 100 * time.Millisecond
)

// storeRead is a read in progress.
type storeRead struct {
	// start is when the call in progress began.
	start   time.Time
	timeout time.Duration
	cancel  context.CancelFunc
}

// readSchedule decides when a daemon reads the store. Its zero value is that of a daemon that has not read yet.
type readSchedule struct {
	// inProgress holds the reads in progress, oldest first.
	inProgress []*storeRead
	// unansweredAt is the start of the latest call that failed, or that had no answer when the next read began.
	unansweredAt time.Time
	// lastStart is when the latest read began. While the store is lost, the next one begins when probeShare of the
	// interval has passed.
	lastStart  time.Time
	probeShare float64
	// retryAt is the end of the backoff after a failed read.
	retryAt time.Time
	backoff time.Duration
}

// lost reports whether the latest news from the store, as of completeAt, is older than a call that it has not answered.
func (r *readSchedule) lost(completeAt time.Time) bool {
	return !r.unansweredAt.IsZero() && !completeAt.After(r.unansweredAt)
}

// due returns the time at which the next read is due, for a copy that is complete as of completeAt. It is the given age of
// the copy, or while the store is lost, the given interval after the start of the latest read.
func (r *readSchedule) due(completeAt time.Time, age, interval time.Duration) time.Time {
	if r.lost(completeAt) {
		at := r.lastStart.Add(time.Duration(r.probeShare * float64(interval)))
		if len(r.inProgress) == 0 && !r.retryAt.IsZero() && r.retryAt.Before(at) {
			at = r.retryAt
		}
		return at
	}
	at := later(completeAt.Add(age), r.retryAt)
	if len(r.inProgress) > 0 {
		// The read in progress may be a probe that hangs while a peer has read the store.
		at = later(at, r.lastStart.Add(callTimeout))
	}
	return at
}

// begin adds a read. The reads in progress count as unanswered, and the latest one is abandoned if there are too many.
func (r *readSchedule) begin(now, completeAt time.Time, cancel context.CancelFunc) *storeRead {
	read := &storeRead{start: now, timeout: lo.Ternary(r.lost(completeAt), lostTimeout, callTimeout), cancel: cancel}
	for _, earlier := range r.inProgress {
		r.markUnanswered(earlier.start)
	}
	if len(r.inProgress) == maxReads {
		r.inProgress[maxReads-1].cancel()
		r.inProgress = r.inProgress[:maxReads-1]
	}
	r.inProgress = append(r.inProgress, read)
	r.lastStart, r.probeShare, r.retryAt = now, 1-probeJitter*rand.Float64(), time.Time{}
	return read
}

// succeed removes a read that the store has answered, and abandons the earlier ones.
func (r *readSchedule) succeed(read *storeRead) {
	r.inProgress = lo.Filter(r.inProgress, func(x *storeRead, _ int) bool {
		if x != read && x.start.Before(read.start) {
			x.cancel()
			return false
		}
		return x != read
	})
	r.endBackoff()
}

// fail removes a read that failed. It returns false if the read had been abandoned.
func (r *readSchedule) fail(read *storeRead, now time.Time, configured bool) bool {
	if !lo.Contains(r.inProgress, read) {
		return false
	}
	r.inProgress = lo.Without(r.inProgress, read)
	r.markUnanswered(read.start)
	if !configured {
		r.retryAt = now.Add(startBackoff)
		return true
	}
	r.backoff = min(max(2*r.backoff, firstBackoff), maxBackoff)
	// The jitter keeps daemons whose reads failed together from retrying together.
	r.retryAt = now.Add(r.backoff/2 + time.Duration(rand.Int64N(int64(r.backoff))))
	return true
}

// abandonBefore cancels the reads whose call in progress began before the given time. They don't count as failed.
func (r *readSchedule) abandonBefore(at time.Time) {
	r.inProgress = lo.Reject(r.inProgress, func(read *storeRead, _ int) bool {
		if !read.start.Before(at) {
			return false
		}
		r.markUnanswered(read.start)
		read.cancel()
		return true
	})
}

// endBackoff makes the next read due without regard to earlier failures.
func (r *readSchedule) endBackoff() {
	r.backoff, r.retryAt = 0, time.Time{}
}

func (r *readSchedule) markUnanswered(start time.Time) {
	r.unansweredAt = later(r.unansweredAt, start)
}

func later(a, b time.Time) time.Time {
	return lo.Ternary(a.After(b), a, b)
}

// probeIntervalOf returns the probe interval of a daemon of the given rank.
func probeIntervalOf(rank int, configured bool) time.Duration {
	switch {
	case !configured:
		return startProbeInterval
	case rank == 0:
		return readerProbeInterval
	case rank < fallbackRanks:
		return fallbackProbeInterval
	default:
		return probeInterval
	}
}
