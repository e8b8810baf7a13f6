package lease

import (
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/confirmation"
	"github.com/knapweedpoint/knapweedpoint/internal/membership"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
	"github.com/knapweedpoint/knapweedpoint/internal/rendezvous"
)

// Parameters of a lease.
const (
	// VoteDuration is how long a vote binds its voter.
	VoteDuration = 3 * time.Second
	// ClockMargin is how much earlier the holder stops using a lease, to allow for clock drift and short pauses.
	ClockMargin = 500 * time.Millisecond
	// NewVoterDelay is how long a VM that has just become a voter does not vote, so that every lease granted under an
	// earlier VM list has expired.
	NewVoterDelay = confirmation.MaxAge + VoteDuration
	// VoterCount is the number of voters of a target, spread over the availability zones.
	VoterCount = 5
	maxVotes   = 8192
)

// Voters returns the names of the VMs in a VM list that vote on a target.
func Voters(target string, members []membership.Member) []string {
	ms := rendezvous.Spread("lease\x00"+target, members, VoterCount)
	return lo.Map(ms, func(m membership.Member, _ int) string { return m.Name })
}

// Quorum returns how many of n voters must agree.
func Quorum(n int) int {
	return n/2 + 1
}

// Process identifies one process of a daemon. What it has in flight may outlast it until its lease ends.
type Process struct {
	// Name is the name of the daemon's VM.
	Name string
	// Incarnation differs at each start of the daemon.
	Incarnation string
}

type vote struct {
	holder Process
	until  time.Time
}

// Voter records the votes that a daemon has given.
type Voter struct {
	mu           sync.Mutex
	noVotesUntil time.Time
	votes        map[string]vote
}

// NewVoter returns a voter that gives no vote for one VoteDuration, since it may have voted before a restart.
func NewVoter(now time.Time) *Voter {
	return &Voter{noVotesUntil: now.Add(VoteDuration), votes: map[string]vote{}}
}

// Vote decides on a lease request; fresh says whether this daemon's VM list is confirmed as current.
func (v *Voter) Vote(from Process, ask *peerpb.LeaseAsk, view *membership.View, fresh bool, now time.Time) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now.Before(v.noVotesUntil) || !fresh || ask.ListRevision < view.ListRevision {
		return false
	}
	since, isVoter := view.SelectedSince(func(ms []membership.Member) []string { return Voters(ask.Target, ms) })
	if !isVoter || (len(view.History) > 1 && now.Sub(since) < NewVoterDelay) {
		return false
	}
	held, ok := v.votes[ask.Target]
	if ok && held.holder != from && now.Before(held.until) {
		return false
	}
	if !ok && !v.evictExpired(now) {
		return false
	}
	v.votes[ask.Target] = vote{holder: from, until: now.Add(VoteDuration)}
	return true
}

// evictExpired evicts the expired votes if maxVotes are recorded, and reports whether another vote may be recorded.
func (v *Voter) evictExpired(now time.Time) bool {
	if len(v.votes) < maxVotes {
		return true
	}
	for t, held := range v.votes {
		if now.After(held.until) {
			delete(v.votes, t)
		}
	}
	return len(v.votes) < maxVotes
}
