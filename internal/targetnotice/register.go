package targetnotice

import (
	"slices"
	"sync"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

const (
	// maxHold bounds a hold. A false statement costs at most that; a target that needs longer refuses the first
	// request after it and is left alone again.
	maxHold = 5 * time.Minute
	// probeInterval is the minimum time between two sends to a target that has not answered since its hold: several
	// times what a call takes, and short enough that a lost answer does not keep the target unused for a second.
	probeInterval = 100 * time.Millisecond
	// AbsentRetention is how long the notices of an incarnation outlast its entry: longer than outages and rewinds of
	// the store, after which an outdated entry may be published again.
	AbsentRetention = time.Hour
	// revocationDelay is how long an entry has to say ready before it revokes the draining of an earlier entry of the
	// same incarnation: longer than a leaving target runs on, and than an outdated entry stays published if its target
	// does not renew it.
	revocationDelay = time.Minute
)

// Register holds the notices of targets; its zero value is empty.
type Register struct {
	mu sync.Mutex
	// records holds, by the ID of the target, a record for each of its incarnations with notices.
	records map[string][]*record
}

// Observe records what an answer to a call says, which was started at the given time.
func (r *Register) Observe(t inventory.Target, result targetcall.Result, startedAt, now time.Time) Observation {
	var leaving bool
	var retryAfter targetcall.RetryAfter
	switch x := result.(type) {
	case targetcall.Answered:
		leaving, retryAfter = x.Leaving, x.RetryAfter
	case targetcall.Refused:
		if x.OtherIncarnation {
			return Unchanged{}
		}
		leaving, retryAfter = x.Leaving, x.RetryAfter
	default:
		return Unchanged{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if leaving {
		r.record(t).announced = true
		return r.markLeaving(t, now)
	}
	switch x := retryAfter.(type) {
	case targetcall.UnreadableDelay:
		return Rejected{Text: x.Text}
	case targetcall.RetryDelay:
		if x.Seconds > 0 {
			return r.record(t).Hold(x.Seconds, now)
		}
	}
	rec := r.find(t.ID, func(rec *record) bool { return rec.describes(t) })
	if rec == nil {
		return Unchanged{}
	}
	o := rec.Answered(startedAt)
	r.drop(t.ID, func(rec *record) bool { return rec.Empty() })
	return o
}

// MarkLeaving records that the target is leaving, from a source other than its answers.
func (r *Register) MarkLeaving(t inventory.Target, now time.Time) Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.markLeaving(t, now)
}

func (r *Register) markLeaving(t inventory.Target, now time.Time) Observation {
	rec := r.record(t)
	rec.readySince = time.Time{}
	return rec.MarkLeaving(now)
}

// Standing returns whether the target may be sent to.
func (r *Register) Standing(t inventory.Target, now time.Time) Standing {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.standing(t, now)
}

func (r *Register) standing(t inventory.Target, now time.Time) Standing {
	var out Standing = Free{}
	for _, rec := range r.records[t.ID] {
		if !rec.covers(t) {
			continue
		}
		switch x := rec.Standing(now).(type) {
		case Leaving:
			return x
		case HoldingOff:
			if o, held := out.(HoldingOff); !held || x.Until.After(o.Until) {
				out = x
			}
		case Free:
		}
	}
	return out
}

// Admit reports whether a request may be sent to the target now. The first send after a hold is a probe: others
// follow at probeInterval until the target has answered.
func (r *Register) Admit(t inventory.Target, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, free := r.standing(t, now).(Free); !free {
		return false
	}
	for _, rec := range r.records[t.ID] {
		if rec.covers(t) {
			rec.CountSend(now)
		}
	}
	return true
}

// Withdrawn reports whether an admitted send to the target may not take place any more, because it is leaving or holds
// off.
func (r *Register) Withdrawn(t inventory.Target, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.records[t.ID], func(rec *record) bool {
		return rec.covers(t) && (!rec.leavingSince.IsZero() || now.Before(rec.holdUntil))
	})
}

// Retain removes the notices of incarnations that are gone. An incarnation without a known start is gone as soon as
// its entry is, because the next one at its address could not be told apart. It returns the targets that only the store
// had called leaving and that have been published as ready again for long enough.
func (r *Register) Retain(published func(target string) (inventory.Target, bool), now time.Time) []inventory.Target {
	r.mu.Lock()
	defer r.mu.Unlock()
	var returned []inventory.Target
	for id := range r.records {
		t, ok := published(id)
		r.drop(id, func(rec *record) bool {
			if rec.revoke(t, ok, now) {
				returned = append(returned, t)
				return rec.holdUntil.IsZero()
			}
			if ok && rec.covers(t) {
				rec.absentSince = time.Time{}
				return false
			}
			if rec.absentSince.IsZero() {
				rec.absentSince = now
			}
			return rec.startMillis == 0 || now.Sub(rec.absentSince) >= AbsentRetention
		})
	}
	return returned
}

// record returns the record of the target's incarnation; it creates one if there is none.
func (r *Register) record(t inventory.Target) *record {
	if rec := r.find(t.ID, func(rec *record) bool { return rec.describes(t) }); rec != nil {
		return rec
	}
	if r.records == nil {
		r.records = map[string][]*record{}
	}
	rec := &record{startMillis: t.StartMillis, address: t.Address}
	r.records[t.ID] = append(r.records[t.ID], rec)
	return rec
}

func (r *Register) find(id string, matches func(*record) bool) *record {
	i := slices.IndexFunc(r.records[id], matches)
	if i < 0 {
		return nil
	}
	return r.records[id][i]
}

// drop removes the records of a target that are no longer needed.
func (r *Register) drop(id string, unneeded func(*record) bool) {
	r.records[id] = slices.DeleteFunc(r.records[id], unneeded)
	if len(r.records[id]) == 0 {
		delete(r.records, id)
	}
}
