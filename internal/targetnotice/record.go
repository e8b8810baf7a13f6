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
	State
	// announced is set once the target itself has said in an answer that it is leaving.
	announced bool
	// readySince is since when the incarnation's entry has said ready while only the store had said that it is leaving.
	readySince time.Time
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
