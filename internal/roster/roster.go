package roster

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"
)

const (
	// AliveFor is how long a member counts at least after its beat last grew: six rounds of gossip.
	AliveFor = 2500 * time.Millisecond
	// freshMembers is the number of members whose beats arrive anew within AliveFor; among more of them each counts
	// longer in proportion, since a datagram tells of a bounded number.
	freshMembers = 24
	// forgetAfter is how long a silent member is kept, so that old beats of it are not taken for news.
	forgetAfter = time.Minute
	// maxMembers bounds the memory of a roster; the goal is 450 daemons.
	maxMembers = 2000
)

// Member is one daemon.
type Member struct {
	Name string
	// Address is where the member takes datagrams, Copies where it serves copies of the published state.
	Address          string
	Copies           string
	AvailabilityZone string
	// Incarnation is the member's start in Unix milliseconds.
	Incarnation uint64
	// Beat grows with each round of the member's gossip.
	Beat    uint64
	Leaving bool
	// Capacity is the member's share of a core in thousandths, 0 when it did not say.
	Capacity uint32
}

// newer reports whether m tells more than o about the same daemon.
func (m Member) newer(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Beat > o.Beat
}

// WithoutAddress returns the member as those are told of it that know its addresses.
func (m Member) WithoutAddress() Member {
	m.Address, m.Copies, m.AvailabilityZone, m.Capacity = "", "", "", 0
	return m
}

type sighting struct {
	member Member
	at     time.Time
}

// Roster is one daemon's knowledge of all daemons.
type Roster struct {
	mu    sync.Mutex
	self  Member
	known map[string]sighting
}

// New returns a roster that knows only the daemon itself.
func New(self Member) *Roster {
	return &Roster{self: self, known: map[string]sighting{}}
}

// Beat starts a new round and returns the daemon itself.
func (r *Roster) Beat() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Beat++
	return r.self
}

// Self returns the daemon itself.
func (r *Roster) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Leave marks the daemon itself as leaving.
func (r *Roster) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Leaving = true
}

// Merge takes in what another daemon knows.
func (r *Roster) Merge(ms []Member, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range ms {
		old, ok := r.known[m.Name]
		if m.Name == r.self.Name || ok && !m.newer(old.member) || !ok && len(r.known) >= maxMembers {
			continue
		}
		if m.Address == "" {
			// Only its own datagrams, and a welcome, tell the addresses of a new start.
			if !ok || m.Incarnation != old.member.Incarnation {
				continue
			}
			m.Address, m.Copies = old.member.Address, old.member.Copies
			m.AvailabilityZone, m.Capacity = old.member.AvailabilityZone, old.member.Capacity
		}
		r.known[m.Name] = sighting{member: m, at: now}
	}
	for name, s := range r.known {
		if now.Sub(s.at) > forgetAfter {
			delete(r.known, name)
		}
	}
}

// Find returns what is known of a daemon.
func (r *Roster) Find(name string) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.known[name]
	return s.member, ok
}

// Peers returns the other daemons that are alive and not leaving, in the order of their names.
func (r *Roster) Peers(now time.Time) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Member
	for _, s := range r.known {
		if now.Sub(s.at) <= r.aliveFor() && !s.member.Leaving {
			out = append(out, s.member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Names returns the names of all live daemons, the daemon itself among them unless it is leaving.
func (r *Roster) Names(now time.Time) []string {
	return lo.Map(r.Alive(now), func(m Member, _ int) string { return m.Name })
}

// Alive returns all live daemons, the daemon itself among them unless it is leaving.
func (r *Roster) Alive(now time.Time) []Member {
	alive := r.Peers(now)
	if self := r.Self(); !self.Leaving {
		alive = append(alive, self)
	}
	return alive
}

// Recent returns the names of all daemons that were alive within the last minute, the daemon itself among them.
func (r *Roster) Recent() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := []string{r.self.Name}
	for name := range r.known {
		names = append(names, name)
	}
	return names
}

// Sample returns up to n live members at random.
func (r *Roster) Sample(n int, now time.Time) []Member {
	return r.take(n, now, func([]sighting) {})
}

// Near returns up to n live members at random, those of the daemon's own availability zone first but for the last one,
// which may be anywhere: news spread inside a zone and cross between zones only now and then.
func (r *Roster) Near(n int, now time.Time) []Member {
	own := r.Self().AvailabilityZone
	near := r.take(n-1, now, func(out []sighting) {
		slices.SortStableFunc(out, func(a, b sighting) int {
			return cmp.Compare(lo.Ternary(a.member.AvailabilityZone == own, 0, 1), lo.Ternary(b.member.AvailabilityZone == own, 0, 1))
		})
	})
	known := func(m Member) bool { return lo.ContainsBy(near, func(o Member) bool { return o.Name == m.Name }) }
	return append(near, lo.Slice(lo.Reject(r.Sample(n, now), func(m Member, _ int) bool { return known(m) }), 0, 1)...)
}

// Latest returns up to n live members that were heard of last, so that news travels on before it is old.
func (r *Roster) Latest(n int, now time.Time) []Member {
	return r.take(n, now, func(out []sighting) {
		slices.SortStableFunc(out, func(a, b sighting) int { return b.at.Compare(a.at) })
	})
}

// aliveFor is how long a member counts after its beat last grew; the caller holds mu.
func (r *Roster) aliveFor() time.Duration {
	return max(AliveFor, AliveFor*time.Duration(len(r.known))/freshMembers)
}

func (r *Roster) take(n int, now time.Time, order func([]sighting)) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []sighting
	for _, s := range r.known {
		if now.Sub(s.at) <= r.aliveFor() {
			out = append(out, s)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	order(out)
	return lo.Map(out[:min(n, len(out))], func(s sighting, _ int) Member { return s.member })
}
