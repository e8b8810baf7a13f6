package permitissuer

import (
	"sync"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/issuertable"
	"github.com/knapweedpoint/knapweedpoint/internal/permit"
)

const (
	// An issuer accumulates unused permits for requests that come together: burstPermits and those of burstTime. Over the
	// 4 s of the operators' bound, those of all issuers are below its surplus of half a limit and five requests.
	burstPermits = 1
	burstTime    = 500 * time.Millisecond
	// retryElsewhere is when to ask again after a daemon that is not an issuer of the target was asked.
	retryElsewhere = 100 * time.Millisecond
)

// Issuer issues this daemon's part of the permits of targets that have rate limits. Table is required.
type Issuer struct {
	Table *blackboard.Cell[issuertable.Table]

	mu sync.Mutex
	// from is when the daemon starts to issue permits, fullFrom when it may issue its whole part.
	from, fullFrom time.Time
	buckets        map[string]*bucket
}

// SetStart sets when the daemon starts to issue permits, and when it may issue its whole part: by then the others must
// know that it does. Without a call, the daemon issues its whole part at once.
func (i *Issuer) SetStart(from, fullFrom time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.from, i.fullFrom = from, fullFrom
}

// Issue decides about one send to a target with the given limit in requests per second.
func (i *Issuer) Issue(t inventory.Target, perSecond float64, now time.Time) permit.Decision {
	rate := i.Table.Get().Rate(t.ID, t.AvailabilityZone, perSecond)
	i.mu.Lock()
	defer i.mu.Unlock()
	if rate == 0 || now.Before(i.from) {
		return permit.Denied{RetryAfter: retryElsewhere}
	}
	if now.Before(i.fullFrom) {
		rate *= issuertable.FallbackShare
	}
	return i.bucket(t.ID, now).take(rate, now)
}

// bucket returns the bucket of a target. A new one has a permit, so that the next answer confirms or ends a limit that was
// just stated, however low it is.
func (i *Issuer) bucket(target string, now time.Time) *bucket {
	b := i.buckets[target]
	if b == nil {
		if i.buckets == nil {
			i.buckets = map[string]*bucket{}
		}
		b = &bucket{permits: 1, updatedAt: now}
		i.buckets[target] = b
	}
	return b
}

// Retain removes the buckets of targets that are not limited any more.
func (i *Issuer) Retain(limited func(target string) bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for id := range i.buckets {
		if !limited(id) {
			delete(i.buckets, id)
		}
	}
}

// bucket holds the permits of one target that can be issued now.
type bucket struct {
	permits   float64
	updatedAt time.Time
}

// take adds the permits since the last call, at a positive rate in permits per second, and takes one of them.
func (b *bucket) take(rate float64, now time.Time) permit.Decision {
	capacity := burstPermits + rate*burstTime.Seconds()
	b.permits = min(capacity, b.permits+rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	if b.permits >= 1 {
		b.permits--
		return permit.Granted{}
	}
	return permit.Denied{RetryAfter: time.Duration((1 - b.permits) / rate * float64(time.Second))}
}
