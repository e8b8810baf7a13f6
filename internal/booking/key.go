package booking

import (
	"time"

	"github.com/google/uuid"
	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/membership"
	"github.com/knapweedpoint/knapweedpoint/internal/rendezvous"
)

// Parameters of a claim.
const (
	// WitnessCount is the number of VMs that witness a key, spread over the availability zones.
	WitnessCount = 3
	// WitnessQuorum is the number of witnesses that must grant a claim.
	WitnessQuorum = 2
	// MaxKeyAge is the age above which a booking is no longer run if its key contains the time of issue.
	MaxKeyAge = 10 * time.Minute
	// RecordRetention is how long a witness retains a key.
	RecordRetention = 15 * time.Minute
	// DefaultMargin is the longest time by which the VM lists of two daemons are assumed to differ.
	DefaultMargin = 90 * time.Second
	// MaxKeyBytes limits the length of a key.
	MaxKeyBytes = 256

	maxFutureSkew = time.Minute
)

// IssuedAt returns the time in a UUIDv7 key. A key without a time, or with one too far ahead, is assumed to be one margin
// old.
func IssuedAt(key string, now time.Time, margin time.Duration) time.Time {
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 {
		return now.Add(-margin)
	}
	ms := int64(0)
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	at := time.UnixMilli(ms)
	if at.After(now.Add(maxFutureSkew)) {
		return now.Add(-margin)
	}
	return at
}

// Witnesses returns the names of the VMs in a VM list that witness a key.
func Witnesses(key string, members []membership.Member) []string {
	ms := rendezvous.Spread("booking\x00"+key, members, WitnessCount)
	return lo.Map(ms, func(m membership.Member, _ int) string { return m.Name })
}

// WitnessSince returns since when this VM has been a witness of the key without a break; it returns false if it is not
// one now.
func WitnessSince(v *membership.View, key string) (time.Time, bool) {
	return v.SelectedSince(func(ms []membership.Member) []string { return Witnesses(key, ms) })
}
