package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/coldstart"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
	"github.com/knapweedpoint/knapweedpoint/internal/targetnotice"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// downFor is how long a target gets no requests after a connection to it failed or was lost.
const downFor = 500 * time.Millisecond

// entry is one sub-request at a relay.
type entry struct {
	from      string
	request   *peerpb.SubRequest
	cancelled bool
	cancel    context.CancelFunc
	// expiryTimer has the entry refused if it is still queued at its latest start.
	expiryTimer *time.Timer
}

func (e *entry) notAfter() time.Time {
	return time.UnixMicro(e.request.NotAfterUs)
}

// targetState is a relay's state of one target.
type targetState struct {
	mu   sync.Mutex
	team string
	// serviceName is the name of service in the team's subtree.
	serviceName  string
	service      settings.Service
	target       settings.Target
	ramp         coldstart.Ramp
	queue        []*entry
	inFlight     int
	peakInFlight int
	losses       int
	downUntil    time.Time
	notices      notices
	// absentSince is since when the target has not been published.
	absentSince time.Time
	// recentServiceTime is the exponentially weighted mean of the service times of recent replies.
	recentServiceTime time.Duration
}

func (ts *targetState) cold(now time.Time) bool {
	_, cold := ts.ramp.State(now).(coldstart.Cold)
	return cold
}

// gone reports whether the target is no longer published. Its notices are kept for a while, in case it is published again.
func (ts *targetState) gone(published bool, now time.Time) bool {
	if published {
		ts.absentSince = time.Time{}
		return false
	}
	if ts.absentSince.IsZero() {
		ts.absentSince = now
	}
	return ts.notices.blockedReason(now) == "" || now.Sub(ts.absentSince) >= targetnotice.AbsentRetention
}

func (ts *targetState) address() string {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.target.Address
}

// expectedWait returns how long a new entry is expected to queue.
func (ts *targetState) expectedWait() time.Duration {
	ahead := len(ts.queue) / max(ts.service.BatchLimit, 1)
	return ts.ramp.Typical() * time.Duration(ahead) / time.Duration(max(ts.service.Slots, 1))
}

// enqueue inserts the entry by descending worth and then by latest start. If the queue then exceeds the limit, it removes
// and returns the last entry.
func (ts *targetState) enqueue(e *entry, limit int) *entry {
	at, _ := slices.BinarySearchFunc(ts.queue, e, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.request.Worth, a.request.Worth), cmp.Compare(a.request.NotAfterUs, b.request.NotAfterUs), -1)
	})
	ts.queue = slices.Insert(ts.queue, at, e)
	if len(ts.queue) <= limit {
		return nil
	}
	last := ts.queue[len(ts.queue)-1]
	ts.queue = ts.queue[:len(ts.queue)-1]
	return last
}

// takeExpired removes and returns the entries that are late or cancelled.
func (ts *targetState) takeExpired(now time.Time) []*entry {
	var out []*entry
	ts.queue = slices.DeleteFunc(ts.queue, func(e *entry) bool {
		if !e.cancelled && now.Before(e.notAfter()) {
			return false
		}
		out = append(out, e)
		return true
	})
	return out
}

// takeBatch removes and returns the entries of the next request: one that runs alone, or several that need not.
func (ts *targetState) takeBatch(limit int) []*entry {
	n := 0
	for n < len(ts.queue) && n < max(limit, 1) {
		if ts.queue[n].request.Alone && n > 0 {
			break
		}
		n++
		if ts.queue[n-1].request.Alone {
			break
		}
	}
	taken := slices.Clone(ts.queue[:n])
	ts.queue = slices.Delete(ts.queue, 0, n)
	return taken
}
