package crashreport

import (
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/crashguard"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
)

// EncodeLosses converts losses to messages, whose times are ages.
func EncodeLosses(records []crashguard.Record, now time.Time) []*gossippb.Crash {
	return lo.Map(records, func(r crashguard.Record, _ int) *gossippb.Crash {
		return &gossippb.Crash{
			Fingerprint: r.Fingerprint, Attempt: r.Attempt, Target: r.Target, Service: r.Service,
			AgeMillis: ageMillis(r.At, now), Unconfirmed: !r.Confirmed, Answered: r.Answered, Silent: r.Silent,
		}
	})
}

// DecodeLoss converts a message to a loss.
func DecodeLoss(m *gossippb.Crash, now time.Time) crashguard.Record {
	return crashguard.Record{
		Loss: crashguard.Loss{
			Fingerprint: m.GetFingerprint(), Attempt: m.GetAttempt(), Target: m.GetTarget(), Service: m.GetService(),
		},
		At: now.Add(-time.Duration(m.GetAgeMillis()) * time.Millisecond), Confirmed: !m.GetUnconfirmed(), Answered: m.GetAnswered(), Silent: m.GetSilent(),
	}
}

func ageMillis(at, now time.Time) uint32 {
	return uint32(max(now.Sub(at), 0).Milliseconds())
}
