package storesync

import (
	"math/rand/v2"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
	"github.com/knapweedpoint/knapweedpoint/internal/roster"
)

// maxCandidates is the maximum number of peers with newer state that are retained; fetches of one change are
// spread over them.
const maxCandidates = 8

// fetchCandidates are the peers that advertised newer state than this daemon has.
type fetchCandidates struct {
	peers []fetchCandidate
}

// fetchCandidate is a peer, and the version, era and revision that it advertised.
type fetchCandidate struct {
	member                 roster.Member
	version, era, revision uint64
}

// newerThan reports whether the peer advertised newer state than a copy holds.
func (c fetchCandidate) newerThan(s platformstate.State) bool {
	return c.version > s.OperatorState.Version() || s.Inventory.Compare(c.era, c.revision) < 0
}

// add records a peer with newer state. When there are too many, the oldest one is evicted.
func (cs *fetchCandidates) add(c fetchCandidate) {
	cs.peers = lo.Reject(cs.peers, func(x fetchCandidate, _ int) bool { return x.member.Name == c.member.Name })
	cs.peers = append(cs.peers, c)
	if len(cs.peers) > maxCandidates {
		cs.peers = cs.peers[1:]
	}
}

// pick returns a random peer that advertised newer state than a copy holds, or false if there is none.
func (cs *fetchCandidates) pick(s platformstate.State) (roster.Member, bool) {
	cs.peers = lo.Filter(cs.peers, func(c fetchCandidate, _ int) bool { return c.newerThan(s) })
	if len(cs.peers) == 0 {
		return roster.Member{}, false
	}
	return cs.peers[rand.IntN(len(cs.peers))].member, true
}

// remove removes a peer after a fetch from it, whether or not the fetch succeeded.
func (cs *fetchCandidates) remove(name string) {
	cs.peers = lo.Reject(cs.peers, func(c fetchCandidate, _ int) bool { return c.member.Name == name })
}
