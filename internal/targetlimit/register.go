package targetlimit

import (
	"strconv"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

// Register holds the latest statement of each target that has stated a limit. Its zero value is empty.
type Register struct {
	mu      sync.Mutex
	records map[string]*record
}

// record is a target's latest statement and the sends since usage was last taken.
type record struct {
	statement Statement
	usage     Usage
}

// Observe records what an answer to this daemon states. A limit ends with a successful answer that states none, if its
// call started after the limit was last stated: answers can overtake each other.
func (r *Register) Observe(t inventory.Target, result targetcall.Result, startedAt, now time.Time) Observation {
	s := Statement{Target: t.ID, StartMillis: t.StartMillis, ObservedAt: now}
	limit, success := statedLimit(result)
	switch x := limit.(type) {
	case targetcall.UnreadableRate:
		return Rejected{Text: x.Text}
	case targetcall.RequestRate:
		s.PerSecond = x.PerSecond
		if !s.Limited() || !s.Valid() {
			return Rejected{Text: strconv.FormatFloat(x.PerSecond, 'g', -1, 64)}
		}
		return r.record(s)
	default:
		known, ok := r.Find(t.ID)
		if !success || !ok || !startedAt.After(known.ObservedAt) {
			return Unchanged{}
		}
		return r.record(s)
	}
}

// statedLimit returns the limit that the target stated in its answer, and whether the answer is a success.
func statedLimit(result targetcall.Result) (targetcall.RateLimit, bool) {
	switch x := result.(type) {
	case targetcall.Answered:
		return x.RateLimit, x.Success()
	case targetcall.Refused:
		return x.RateLimit, false
	default:
		return nil, false
	}
}

// Merge records what a peer knows.
func (r *Register) Merge(s Statement) Observation {
	if !s.Valid() {
		return Rejected{Text: strconv.FormatFloat(s.PerSecond, 'g', -1, 64)}
	}
	return r.record(s)
}

func (r *Register) record(s Statement) Observation {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.records[s.Target]
	if !ok {
		if r.records == nil {
			r.records = map[string]*record{}
		}
		old = &record{}
		r.records[s.Target] = old
	}
	before := old.statement
	if ok && !s.supersedes(before) {
		return Unchanged{}
	}
	old.statement = s
	if before.PerSecond == s.PerSecond {
		return Unchanged{}
	}
	return Changed{Before: before, After: s}
}

// Find returns the latest statement of a target.
func (r *Register) Find(target string) (Statement, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records[target]
	if !ok {
		return Statement{}, false
	}
	return rec.statement, true
}

// Limit returns the limit that is in force for a target, in requests per second, or 0 if there is none. A limit binds
// the incarnation that stated it.
func (r *Register) Limit(t inventory.Target) float64 {
	s, ok := r.Find(t.ID)
	if !ok || s.StartMillis != t.StartMillis {
		return 0
	}
	return s.PerSecond
}

// Statements returns the limits in force, and the statements of no limit that were observed after the given time.
func (r *Register) Statements(endedAfter time.Time) []Statement {
	r.mu.Lock()
	defer r.mu.Unlock()
	return lo.FilterMap(lo.Values(r.records), func(rec *record, _ int) (Statement, bool) {
		return rec.statement, rec.statement.Limited() || rec.statement.ObservedAt.After(endedAfter)
	})
}

// CountSend counts a send to a target if the target has a limit.
func (r *Register) CountSend(target string, additional bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.records[target]
	switch {
	case !ok || !rec.statement.Limited():
	case additional:
		rec.usage.Additional++
	default:
		rec.usage.First++
	}
}

// TakeUsage returns the sends since the last call, for each target with any.
func (r *Register) TakeUsage() []Usage {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Usage
	for id, rec := range r.records {
		if u := rec.usage; u.First+u.Additional > 0 {
			u.Target, u.PerSecond = id, rec.statement.PerSecond
			out = append(out, u)
		}
		rec.usage = Usage{}
	}
	return out
}

// Retain removes the records of targets that are not known any more.
func (r *Register) Retain(known func(target string) bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.records {
		if !known(id) {
			delete(r.records, id)
		}
	}
}
