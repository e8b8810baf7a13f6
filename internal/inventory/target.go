package inventory

import "time"

// Target is one published replica of a service; it is immutable.
type Target struct {
	// ID usually identifies one incarnation of the target.
	ID      string
	Service string
	// Address is host and port.
	Address          string
	AvailabilityZone string
	// Slots is the number of requests that the target processes concurrently.
	Slots int
	// Draining is set while the target is shutting down; it gets no new requests.
	Draining bool
	// StartMillis is when the target started, in Unix milliseconds, or 0 if that is unknown.
	StartMillis int64
	// ColdUntil is the end of the target's warm-up, as it was published last.
	ColdUntil time.Time
	// Revision is the revision of the entry in the store.
	Revision uint64
}

// Cold reports whether the target has not warmed up yet.
func (t Target) Cold(now time.Time) bool {
	return now.Before(t.ColdUntil)
}

// WithColdUntil returns the target with a later end of its warm-up. An earlier time has no effect.
func (t Target) WithColdUntil(at time.Time) Target {
	if at.After(t.ColdUntil) {
		t.ColdUntil = at
	}
	return t
}

// SameAs reports whether two entries are equal apart from their revisions. The ends of the warm-up may differ by up to
// coldTolerance.
func (t Target) SameAs(o Target, coldTolerance time.Duration) bool {
	diff := t.ColdUntil.Sub(o.ColdUntil)
	t.Revision, o.Revision = 0, 0
	t.ColdUntil, o.ColdUntil = time.Time{}, time.Time{}
	return t == o && diff.Abs() <= coldTolerance
}
