package permitissuer

import (
	"slices"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/permit"
)

// returnable is how long after its grant a permit can be returned. A request that runs nowhere is refused by then; a later
// return would move the permit into another window of the bound.
const returnable = 2 * time.Second

// bucket holds the permits of one resource that can be issued now.
type bucket struct {
	permits   float64
	updatedAt time.Time
	// granted are the recent grants of an account's permits, oldest first.
	granted []grantedAt
}

// grantedAt is one grant with its time.
type grantedAt struct {
	grant permit.Grant
	at    time.Time
}

// take adds the permits since the last call, at a positive rate in permits per second and up to the capacity, and takes one
// of them. It returns how long it takes until one is available if there is none, and 0 otherwise.
func (b *bucket) take(rate, capacity float64, now time.Time) time.Duration {
	b.permits = min(capacity, b.permits+rate*max(0, now.Sub(b.updatedAt).Seconds()))
	b.updatedAt = now
	if b.permits >= 1 {
		b.permits--
		return 0
	}
	return max(1, time.Duration((1-b.permits)/rate*float64(time.Second)))
}

// record records a grant so that it can be returned. Their number is bounded by the capacity and the rate.
func (b *bucket) record(g permit.Grant, now time.Time) {
	expired := 0
	for expired < len(b.granted) && now.Sub(b.granted[expired].at) > returnable {
		expired++
	}
	b.granted = append(slices.Delete(b.granted, 0, expired), grantedAt{grant: g, at: now})
}

// remove removes a recent grant. It returns false if there is none.
func (b *bucket) remove(g permit.Grant, now time.Time) bool {
	i := slices.IndexFunc(b.granted, func(x grantedAt) bool { return x.grant == g })
	if i < 0 || now.Sub(b.granted[i].at) > returnable {
		return false
	}
	b.granted = slices.Delete(b.granted, i, i+1)
	return true
}
