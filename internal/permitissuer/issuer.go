package permitissuer

import (
	"sync"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
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
	// startShare is the share of its part that an issuer of accounts issues before it must know the other daemons, and the share
	// of newStockShare until its start is complete. Daemons that start together do not agree on the issuers yet, and the permits
	// of the processes before them count in the same window.
	startShare = 0.5
	// stockShare is the share of an account's slack that the issuers accumulate in addition to its burst, so that requests
	// that come unevenly are not refused while the account is within its quota.
	stockShare = 0.25
	// newStockShare is the share of the slack that new issuers of an account may issue at once. With it, stockShare and what
	// daemons admit without issuers, the slack suffices if the issuers of an account are replaced once in a window.
	newStockShare = 0.25
)

// Issuer issues this daemon's part of the permits of targets that have rate limits and of accounts that have quotas. Table is required.
type Issuer struct {
	Table *blackboard.Cell[issuertable.Table]

	mu sync.Mutex
	// from is when the daemon starts to issue permits of targets, fullFrom when it may issue its whole part.
	from, fullFrom time.Time
	buckets        map[string]*bucket
}

// SetStart sets when the daemon starts to issue permits of targets, by which it must know the other daemons, and when it may
// issue its whole part: by then the others must know that it does. Without a call, the daemon issues its whole part at once.
func (i *Issuer) SetStart(from, fullFrom time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.from, i.fullFrom = from, fullFrom
}

// Issue decides about one permit. The grant identifies the request, so that a permit of an account can be returned.
func (i *Issuer) Issue(r permit.Resource, g permit.Grant, now time.Time) permit.Decision {
	switch k := r.Kind.(type) {
	case permit.Target:
		return i.issueTarget(r, now)
	case permit.Account:
		return i.issueAccount(r, k, g, now)
	default:
		panic("permitissuer: unknown kind of resource")
	}
}

func (i *Issuer) issueTarget(r permit.Resource, now time.Time) permit.Decision {
	rate := i.Table.Get().Rate(r.ID, r.Zone, r.PerSecond)
	i.mu.Lock()
	defer i.mu.Unlock()
	if rate == 0 || now.Before(i.from) {
		return permit.Denied{RetryAfter: retryElsewhere}
	}
	if now.Before(i.fullFrom) {
		rate *= issuertable.FallbackShare
	}
	// A new bucket has a permit, so that the next answer confirms or ends a limit that was just stated, however low it is.
	b := i.bucket(r.ID, 1, now)
	if wait := b.take(rate, burstPermits+rate*burstTime.Seconds(), now); wait > 0 {
		return permit.Denied{RetryAfter: wait}
	}
	return permit.Granted{}
}

// issueAccount issues permits of an account also while the daemon starts, so that a restarted fleet serves its callers.
func (i *Issuer) issueAccount(r permit.Resource, a permit.Account, g permit.Grant, now time.Time) permit.Decision {
	table := i.Table.Get()
	share := table.Share(r.ID, r.Zone, a.Rules.Overshoot)
	i.mu.Lock()
	defer i.mu.Unlock()
	// A daemon that knows no other one yet would issue everything, as would each of the others.
	if share == 0 || now.Before(i.from) && table.MainIssuers() < 2 {
		return permit.NoIssuer{}
	}
	// The parts of a partitioned fleet are new to each other's accounts at the same time, so that each issues less at once.
	rate, stock := share*r.PerSecond, share*newStockShare*a.Rules.Slack*table.Part(a.Rules.Overshoot)
	capacity := max(1, share*(a.Burst+stockShare*a.Rules.Slack))
	switch {
	case now.Before(i.from):
		rate *= startShare
		stock = 0
	case now.Before(i.fullFrom):
		stock *= startShare
	}
	stock += rate * max(0, now.Sub(table.CreatedAt()).Seconds())
	b := i.bucket(r.ID, stock, now)
	if wait := b.take(rate, capacity, now); wait > 0 {
		return permit.Denied{RetryAfter: wait, Issuer: g.Issuer}
	}
	b.record(g, now)
	return permit.Granted{Grant: g}
}

// Return takes back a permit of an account that was granted and not used. A permit is taken back once.
func (i *Issuer) Return(r permit.Resource, g permit.Grant, now time.Time) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if b := i.buckets[r.ID]; b != nil && b.remove(g, now) {
		b.permits++
	}
}

// bucket returns the bucket of a resource; a new one has the given permits.
func (i *Issuer) bucket(id string, permits float64, now time.Time) *bucket {
	b := i.buckets[id]
	if b == nil {
		if i.buckets == nil {
			i.buckets = map[string]*bucket{}
		}
		b = &bucket{permits: permits, updatedAt: now}
		i.buckets[id] = b
	}
	return b
}

// Retain removes the buckets of resources that are not limited any more.
func (i *Issuer) Retain(limited func(id string) bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	for id := range i.buckets {
		if !limited(id) {
			delete(i.buckets, id)
		}
	}
}
