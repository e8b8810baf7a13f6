package lease

import (
	"math/rand/v2"
	"sync"
	"time"
)

// RoundTimeout is how long a relay waits for the votes of a round.
const RoundTimeout = 50 * time.Millisecond

// roundInterval is the shortest time between the starts of two rounds for the same target.
const roundInterval = 100 * time.Millisecond

type requestedLease struct {
	round  uint64
	sentAt time.Time
	voters []string
	votes  map[string]bool
	until  time.Time
}

// Holder holds the leases that a relay has requested; its zero value holds none.
type Holder struct {
	mu     sync.Mutex
	rounds uint64
	leases map[string]*requestedLease
}

// HeldUntil returns the end of the lease on a target, or the zero time if the lease is not held.
func (h *Holder) HeldUntil(target string, now time.Time) time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.leases[target]
	if l == nil || !now.Before(l.until) {
		return time.Time{}
	}
	return l.until
}

// StartRound starts a round of votes and returns its number; it returns false if the last round was started too
// recently.
func (h *Holder) StartRound(target string, voters []string, now time.Time) (uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.leases[target]
	if l == nil {
		l = &requestedLease{}
		if h.leases == nil {
			h.leases = map[string]*requestedLease{}
		}
		h.leases[target] = l
	}
	if !l.sentAt.IsZero() && now.Sub(l.sentAt) < roundInterval {
		return 0, false
	}
	if h.rounds == 0 {
		// A vote of a round of an earlier process must not count in one of this process.
		h.rounds = rand.Uint64()
	}
	h.rounds++
	l.round = h.rounds
	l.sentAt = now
	l.voters = voters
	l.votes = map[string]bool{}
	return l.round, true
}

// Refused reports whether the latest round has timed out without a quorum.
func (h *Holder) Refused(target string, now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.leases[target]
	return l != nil && !now.Before(l.until) && now.Sub(l.sentAt) > RoundTimeout
}

// CountVote counts a vote of a round. At the quorum the lease is granted, starting from the time the round was started.
func (h *Holder) CountVote(from, target string, round uint64, granted bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.leases[target]
	if l == nil || l.round != round || !granted {
		return
	}
	l.votes[from] = true
	if len(l.votes) >= Quorum(len(l.voters)) {
		l.until = l.sentAt.Add(VoteDuration - ClockMargin)
	}
}
