package targetnotice

import (
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
)

// record holds the notices of one incarnation of a target.
type record struct {
	// startMillis identifies the incarnation; if it is 0, address does.
	startMillis int64
	address     string
	// leavingSince is zero unless the target is leaving.
	leavingSince time.Time
	// announced is set once the target itself has said in an answer that it is leaving.
	announced bool
	// readySince is since when the incarnation's entry has said ready while only the store had said that it is leaving.
	readySince time.Time
	// holdUntil is the end of the hold; it is zero if there is none or the target has answered since its end.
	holdUntil time.Time
	// probedAt is the latest send after the end of the hold.
	probedAt time.Time
	// absentSince is when the incarnation was first missed in the inventory; zero while it is published.
	absentSince time.Time
}

// describes reports whether the record is about exactly the target's incarnation.
func (r *record) describes(t inventory.Target) bool {
	if r.startMillis != 0 || t.StartMillis != 0 {
		return r.startMillis == t.StartMillis
	}
	return r.address == t.Address
}

// covers reports whether the record binds sends to the target: it is the same incarnation or an earlier one, which an
// outdated entry still publishes. Without the start of both, the same address means the same incarnation.
func (r *record) covers(t inventory.Target) bool {
	if r.startMillis != 0 && t.StartMillis != 0 {
		return t.StartMillis <= r.startMillis
	}
	return r.address == t.Address
}

func (r *record) standing(now time.Time) Standing {
	switch {
	case !r.leavingSince.IsZero():
		return Leaving{Since: r.leavingSince}
	case now.Before(r.holdUntil):
		return HoldingOff{Until: r.holdUntil}
	case !r.probedAt.IsZero() && now.Before(r.probedAt.Add(probeInterval)):
		return HoldingOff{Until: r.probedAt.Add(probeInterval)}
	default:
		return Free{}
	}
}

// revoke ends a notice that only the store gave if the published entry of the same incarnation has said ready for
// revocationDelay. It reports whether it did.
func (r *record) revoke(t inventory.Target, published bool, now time.Time) bool {
	if r.leavingSince.IsZero() || r.announced || !published || t.Draining || !r.describes(t) {
		r.readySince = time.Time{}
		return false
	}
	if r.readySince.IsZero() {
		r.readySince = now
	}
	if now.Sub(r.readySince) < revocationDelay {
		return false
	}
	r.leavingSince, r.readySince = time.Time{}, time.Time{}
	return true
}

// hold sets the end of the hold unless it ends later already.
func (r *record) hold(until time.Time) Observation {
	begun := r.holdUntil.IsZero()
	if !until.After(r.holdUntil) {
		return Unchanged{}
	}
	r.holdUntil, r.probedAt = until, time.Time{}
	if begun {
		return HoldBegun{Until: until}
	}
	return HoldExtended{Until: until}
}

// answered ends the hold if it was over when the answered call started.
func (r *record) answered(startedAt time.Time) Observation {
	if r.holdUntil.IsZero() || startedAt.Before(r.holdUntil) {
		return Unchanged{}
	}
	r.holdUntil, r.probedAt = time.Time{}, time.Time{}
	return HoldEnded{}
}
