package crashguard

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
)

const (
	// RefuseThreshold is the number of losses of targets at which a request is refused.
	RefuseThreshold = 3
	// answerValid is how long an answer of a service clears a request of its losses there: the additional sends of the
	// request end within that time.
	answerValid = 5 * time.Second
	// confirmWithin is the time after a broken call within which the loss of its target must be seen: three heartbeats
	// after which an entry is removed, the oldest copy of the platform's state, and a short outage of the store.
	confirmWithin = 10 * time.Second
	// SuspicionTTL is the time after the latest loss at which a suspicion loses one of its losses, and so on. A request that
	// comes again after one such time is refused after one more loss.
	SuspicionTTL = 2 * time.Minute
	// maxSuspects bounds the suspicions that are retained; at the bound a quarter of them is evicted: those with the fewest
	// losses, of these the oldest.
	maxSuspects = 4096
	// maxLossesPerSuspect bounds the losses of one request.
	maxLossesPerSuspect = 64
	// maxTargets bounds the targets whose latest answers are retained.
	maxTargets = 8192
	// expireInterval is the time between two removals of expired broken calls.
	expireInterval = time.Second
)

// brokenCall is a call without a complete answer whose target may have ended.
type brokenCall struct {
	at time.Time
	// silent is set if the call was given up before its connection broke.
	silent bool
	// fromPeer is set if a peer told of the call.
	fromPeer bool
}

// Guard counts the targets that were lost while they ran each request; its zero value has counted none.
type Guard struct {
	mu sync.Mutex
	// broken holds, by target, the calls that ended without an answer within the last confirmWithin.
	broken map[string]map[Loss]brokenCall
	// expiredAt is when expired calls were last removed from broken.
	expiredAt time.Time
	// answeredAt holds the time of the latest answer of each target to any request.
	answeredAt map[string]time.Time
	answers    answers
	suspects   map[uint64]*suspicion
}

// RecordBrokenCall records that the connection broke while a target ran a request. The loss counts for confirmWithin, and
// longer once it is confirmed. The result is false if the loss is known or does not count.
func (g *Guard) RecordBrokenCall(l Loss, at time.Time) (Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addBroken(l, brokenCall{at: at})
	return g.count(Record{Loss: l, At: at})
}

// RecordCancelledCall records that a call was given up before its time had passed. It counts as a loss only if its target is
// seen to have ended.
func (g *Guard) RecordCancelledCall(l Loss, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addBroken(l, brokenCall{at: at, silent: true})
}

// RecordTimedOutCall records that a target did not answer a call, which was started at the given time, until the call's
// time had passed. Unless the target answered other calls in the second half of that time, the loss counts until the
// target answers another one, for confirmWithin at most, and longer once it is confirmed. The result is false if the loss
// does not count.
func (g *Guard) RecordTimedOutCall(l Loss, startedAt, at time.Time) (Record, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addBroken(l, brokenCall{at: at, silent: true})
	if g.answeredAt[l.Target].After(startedAt.Add(at.Sub(startedAt) / 2)) {
		return Record{}, false
	}
	return g.count(Record{Loss: l, At: at, Silent: true})
}

// RecordTargetAnswer records that a target has answered a request, whichever it is: the target has not ended, and calls that
// it has not answered do not count as losses unless it is seen to end later.
func (g *Guard) RecordTargetAnswer(target string, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.answeredAt == nil || len(g.answeredAt) >= maxTargets {
		g.answeredAt = map[string]time.Time{}
	}
	g.answeredAt[target] = at
	for l, call := range g.broken[target] {
		s := g.suspects[l.Fingerprint]
		if !call.silent || s == nil || call.at.After(at) {
			continue
		}
		key := l
		key.Fingerprint = 0
		if !s.losses[key].Confirmed {
			delete(s.losses, key)
		}
		if len(s.losses) == 0 {
			delete(g.suspects, l.Fingerprint)
		}
	}
}

// ConfirmTargetLoss records that a target has ended and returns the losses that this confirms.
func (g *Guard) ConfirmTargetLoss(target string, now time.Time) []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Record
	for l, call := range g.broken[target] {
		if now.Sub(call.at) > confirmWithin {
			continue
		}
		if r, ok := g.count(Record{Loss: l, At: call.at, Confirmed: true, Silent: call.silent, FromPeer: call.fromPeer}); ok {
			out = append(out, r)
		}
	}
	delete(g.broken, target)
	return out
}

// RecordPeerLoss records a loss that a peer tells of, and reports whether it is new or newly confirmed.
func (g *Guard) RecordPeerLoss(r Record) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !r.Confirmed {
		g.addBroken(r.Loss, brokenCall{at: r.At, silent: r.Silent, fromPeer: true})
		if r.Silent && g.answeredAt[r.Target].After(r.At) {
			return false
		}
	}
	_, ok := g.count(r)
	return ok
}

// RecordAnswer clears a request of its losses at a service that has answered it, and of those at services that are not
// known. It reports whether this changes anything.
func (g *Guard) RecordAnswer(fingerprint uint64, service string, at time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.answers.record(answerKey{fingerprint, service}, at)
	g.answers.record(answerKey{fingerprint, ""}, at)
	s := g.suspects[fingerprint]
	if s == nil {
		return false
	}
	changed := !s.answered
	s.answered = true
	maps.DeleteFunc(s.losses, func(l Loss, r Record) bool {
		cleared := (l.Service == service || l.Service == "") && !r.At.After(at)
		changed = changed || cleared
		return cleared
	})
	if len(s.losses) == 0 {
		delete(g.suspects, fingerprint)
	}
	return changed
}

// Empty reports whether no request is suspected.
func (g *Guard) Empty() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.suspects) == 0
}

// Refuses reports whether a request must not be sent to a service, and for how long. If other services have answered it,
// only the losses at this service count.
func (g *Guard) Refuses(fingerprint uint64, service string, now time.Time) (time.Duration, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.suspects[fingerprint]
	if s == nil {
		return 0, false
	}
	wait := s.refusedFor(service, now)
	return wait, wait > 0
}

// UnansweredLosses returns the targets that were lost while they ran a request, if no service has answered it.
func (g *Guard) UnansweredLosses(fingerprint uint64, now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.suspects[fingerprint]
	if s == nil || s.answered {
		return nil
	}
	counting := lo.Filter(lo.Values(s.losses), func(r Record, _ int) bool { return r.counts(now) })
	return lo.Uniq(lo.Map(counting, func(r Record, _ int) string { return r.Target }))
}

// Losses returns up to n losses to pass on: of requests with more than one loss, those with the most first, of these the
// latest.
func (g *Guard) Losses(n int, now time.Time) []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.removeExpired(now)
	several := lo.PickBy(g.suspects, func(_ uint64, s *suspicion) bool { return len(s.losses) > 1 })
	var out []Record
	for _, fingerprint := range slices.Backward(order(several, now)) {
		s := g.suspects[fingerprint]
		if len(out) >= n || s.count(now) < 2 {
			break
		}
		records := slices.SortedFunc(maps.Values(s.losses), func(a, b Record) int { return b.At.Compare(a.At) })
		for i := range records {
			records[i].Answered = s.answered
		}
		out = append(out, records[:min(len(records), RefuseThreshold, n-len(out))]...)
	}
	return out
}

// removeExpired removes the suspicions that have expired.
func (g *Guard) removeExpired(now time.Time) {
	maps.DeleteFunc(g.suspects, func(_ uint64, s *suspicion) bool {
		s.removeExpired(now)
		return len(s.losses) == 0 || int(now.Sub(s.lastLoss())/SuspicionTTL) >= min(len(s.losses), RefuseThreshold)
	})
}

// order returns the fingerprints of suspicions in ascending order of their losses, of these the oldest first.
func order(suspects map[uint64]*suspicion, now time.Time) []uint64 {
	counts := lo.MapValues(suspects, func(s *suspicion, _ uint64) int { return s.count(now) })
	return slices.SortedFunc(maps.Keys(suspects), func(a, b uint64) int {
		return cmp.Or(cmp.Compare(counts[a], counts[b]), suspects[a].lastLoss().Compare(suspects[b].lastLoss()))
	})
}

// count adds a loss, unless its service has answered the request since or shortly before. The result is false if the loss
// is known or does not count.
func (g *Guard) count(r Record) (Record, bool) {
	answered := func(service string) bool {
		at := g.answers.latest(answerKey{r.Fingerprint, service})
		return !at.IsZero() && r.At.Sub(at) <= answerValid
	}
	if r.Service != "" && answered(r.Service) {
		return r, false
	}
	s := g.suspects[r.Fingerprint]
	if s == nil {
		g.evictIfFull(r.At)
		if g.suspects == nil {
			g.suspects = map[uint64]*suspicion{}
		}
		s = &suspicion{losses: map[Loss]Record{}, answered: answered("")}
		g.suspects[r.Fingerprint] = s
	}
	s.answered = s.answered || r.Answered
	r.Answered = s.answered
	key := r.Loss
	key.Fingerprint = 0
	known, ok := s.losses[key]
	if ok && (known.Confirmed || !r.Confirmed) || len(s.losses) >= maxLossesPerSuspect && !ok {
		return r, false
	}
	s.losses[key] = r
	return r, true
}

func (g *Guard) addBroken(l Loss, call brokenCall) {
	g.expireBroken(call.at)
	if g.broken == nil {
		g.broken = map[string]map[Loss]brokenCall{}
	}
	if g.broken[l.Target] == nil {
		g.broken[l.Target] = map[Loss]brokenCall{}
	}
	if known, ok := g.broken[l.Target][l]; ok && !known.fromPeer {
		return
	}
	g.broken[l.Target][l] = call
}

// expireBroken removes the broken calls that were not confirmed in time.
func (g *Guard) expireBroken(now time.Time) {
	if now.Sub(g.expiredAt) < expireInterval {
		return
	}
	g.expiredAt = now
	for target, calls := range g.broken {
		maps.DeleteFunc(calls, func(_ Loss, c brokenCall) bool { return now.Sub(c.at) > confirmWithin })
		if len(calls) == 0 {
			delete(g.broken, target)
		}
	}
}

func (g *Guard) evictIfFull(now time.Time) {
	if len(g.suspects) < maxSuspects {
		return
	}
	g.removeExpired(now)
	for _, fingerprint := range order(g.suspects, now)[:max(len(g.suspects)-3*maxSuspects/4, 0)] {
		delete(g.suspects, fingerprint)
	}
}
