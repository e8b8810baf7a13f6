package booking

import (
	"sync"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/membership"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
)

// Verdicts of a witness on a claim.
const (
	VerdictGranted      = "granted"
	VerdictHeld         = "held"
	VerdictEnded        = "ended"
	VerdictBodyChanged  = "bodyChanged"
	VerdictNotWitness   = "noDuty"
	VerdictOutdatedList = "oldList"
	VerdictStale        = "stale"
	VerdictFull         = "full"
	VerdictNone         = "none"
)

// MaxRecords limits the keys that a witness retains; when the limit is reached, new claims are refused.
const MaxRecords = 100_000

type record struct {
	attempt    string
	bodyHash   uint64
	recordedAt time.Time
	outcome    *peerpb.ClaimOutcome
}

// Witness records which attempt may run each key; its zero value has no records.
type Witness struct {
	// Margin overrides DefaultMargin when it is above 0.
	Margin time.Duration

	mu        sync.Mutex
	records   map[string]*record
	lastSweep time.Time
}

// Claim decides on a claim; a claim without an attempt only queries what is recorded.
func (w *Witness) Claim(c *peerpb.Claim, view *membership.View, fresh bool, now time.Time) *peerpb.ClaimReply {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removeExpired(now)
	reply := &peerpb.ClaimReply{Id: c.Id}
	if r := w.records[c.Key]; r != nil {
		reply.Verdict = recordedVerdict(r, c)
		reply.Outcome = r.outcome
		return reply
	}
	reply.Verdict = w.unrecordedVerdict(c, view, fresh)
	if reply.Verdict == VerdictGranted {
		if w.records == nil {
			w.records = map[string]*record{}
		}
		w.records[c.Key] = &record{attempt: c.Attempt, bodyHash: c.BodyHash, recordedAt: now}
	}
	return reply
}

func recordedVerdict(r *record, c *peerpb.Claim) string {
	switch {
	case c.Attempt == "" && r.outcome != nil:
		return VerdictEnded
	case c.Attempt == "":
		return VerdictHeld
	case r.bodyHash != c.BodyHash:
		return VerdictBodyChanged
	case r.outcome != nil:
		return VerdictEnded
	case r.attempt == c.Attempt:
		return VerdictGranted
	default:
		return VerdictHeld
	}
}

// unrecordedVerdict returns the verdict on a claim to a key that has no record.
func (w *Witness) unrecordedVerdict(c *peerpb.Claim, view *membership.View, fresh bool) string {
	since, isWitness := WitnessSince(view, c.Key)
	switch {
	case c.Attempt == "":
		return VerdictNone
	case !fresh:
		return VerdictStale
	case c.ListRevision < view.ListRevision:
		return VerdictOutdatedList
	case !isWitness || time.UnixMicro(c.IssuedAtUs).Before(since.Add(w.margin())):
		return VerdictNotWitness
	case len(w.records) >= MaxRecords:
		return VerdictFull
	default:
		return VerdictGranted
	}
}

// RecordOutcome records the outcome of an attempt. A release instead removes the key's record, if that is the attempt's
// own and has no outcome.
func (w *Witness) RecordOutcome(o *peerpb.ClaimOutcome, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := w.records[o.Key]
	switch {
	case r != nil && r.attempt != o.Attempt:
	case o.Release:
		if r != nil && r.outcome == nil {
			delete(w.records, o.Key)
		}
	case r == nil:
		w.recordUnclaimed(o, now)
	default:
		r.outcome = o
	}
}

// recordUnclaimed records an outcome whose claim this witness never received.
func (w *Witness) recordUnclaimed(o *peerpb.ClaimOutcome, now time.Time) {
	if len(w.records) >= MaxRecords {
		return
	}
	if w.records == nil {
		w.records = map[string]*record{}
	}
	w.records[o.Key] = &record{attempt: o.Attempt, bodyHash: o.BodyHash, recordedAt: now, outcome: o}
}

// Len returns the number of retained keys.
func (w *Witness) Len() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.records)
}

func (w *Witness) margin() time.Duration {
	if w.Margin > 0 {
		return w.Margin
	}
	return DefaultMargin
}

func (w *Witness) removeExpired(now time.Time) {
	if now.Sub(w.lastSweep) < time.Minute {
		return
	}
	w.lastSweep = now
	for key, r := range w.records {
		if now.Sub(r.recordedAt) > RecordRetention {
			delete(w.records, key)
		}
	}
}
