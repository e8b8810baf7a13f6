package inventory

import "time"

// Target is one published replica of a service; it is immutable.
type Target struct {
	// ID names one incarnation, mostly.
	ID      string
	Service string
	// Address is host and port.
	Address          string
	AvailabilityZone string
	// Slots is how many requests the target works on at once.
	Slots int
	// Draining targets are leaving and receive no new work.
	Draining bool
	// Born is the Unix millisecond of the target's start, 0 when it is unknown.
	Born int64
	// ColdUntil is when the target has warmed up, by what was published last.
	ColdUntil time.Time
	// Revision is the store's revision of the entry.
	Revision uint64
}

// Cold reports whether the target has not warmed up yet.
func (t Target) Cold(now time.Time) bool {
	return now.Before(t.ColdUntil)
}

// WithColdUntil returns the target with a later end of its cold start; an earlier one changes nothing.
func (t Target) WithColdUntil(at time.Time) Target {
	if at.After(t.ColdUntil) {
		t.ColdUntil = at
	}
	return t
}

// SameAs reports whether two entries tell daemons the same, apart from their revision.
// coldSlack is how far the ends of a cold start may lie apart.
func (t Target) SameAs(o Target, coldSlack time.Duration) bool {
	gap := t.ColdUntil.Sub(o.ColdUntil)
	t.Revision, o.Revision = 0, 0
	t.ColdUntil, o.ColdUntil = time.Time{}, time.Time{}
	return t == o && gap.Abs() <= coldSlack
}
