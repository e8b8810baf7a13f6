package crashguard

import (
	"maps"
	"time"

	"github.com/samber/lo"
)

// suspicion holds the losses of one request.
type suspicion struct {
	losses map[Loss]Record
	// answered is set once any service has answered the request. It then crashes the targets of some services only.
	answered bool
}

// counts reports whether a loss counts: until it expires if it is confirmed, otherwise while it may still be confirmed.
func (r Record) counts(now time.Time) bool {
	return r.Confirmed || now.Sub(r.At) <= confirmWithin
}

// count returns the number of losses that count, at most RefuseThreshold, less one for each SuspicionTTL since the latest.
func (s *suspicion) count(now time.Time) int {
	return s.countIf(now, func(r Record) bool { return r.counts(now) })
}

// countIf counts the selected losses. Within an attempt only those at the service with the most of them count, because the
// sends of an attempt to several services may be lost in one outage.
func (s *suspicion) countIf(now time.Time, selected func(Record) bool) int {
	perService := map[Loss]int{}
	perAttempt := map[string]int{}
	silent := map[Loss]bool{}
	for l, r := range s.losses {
		l.Target = ""
		if !selected(r) || r.Silent && silent[l] {
			continue
		}
		silent[l] = silent[l] || r.Silent
		perService[l]++
		perAttempt[l.Attempt] = max(perAttempt[l.Attempt], perService[l])
	}
	expired := int(now.Sub(s.lastLoss()) / SuspicionTTL)
	return min(lo.Sum(lo.Values(perAttempt)), RefuseThreshold) - expired
}

func (s *suspicion) lastLoss() time.Time {
	var last time.Time
	for _, r := range s.losses {
		if r.At.After(last) {
			last = r.At
		}
	}
	return last
}

// refusedFor returns how long the request is not sent to a service; 0 if it may be sent.
func (s *suspicion) refusedFor(service string, now time.Time) time.Duration {
	concerns := func(r Record) bool { return !s.answered || r.Service == service || r.Service == "" }
	if s.countIf(now, func(r Record) bool { return r.Confirmed && concerns(r) }) >= RefuseThreshold {
		return s.lastLoss().Add(SuspicionTTL).Sub(now)
	}
	if s.countIf(now, func(r Record) bool { return r.counts(now) && concerns(r) }) >= RefuseThreshold {
		return confirmWithin
	}
	return 0
}

// removeExpired removes the losses that were not confirmed in time.
func (s *suspicion) removeExpired(now time.Time) {
	maps.DeleteFunc(s.losses, func(_ Loss, r Record) bool { return !r.counts(now) })
}
