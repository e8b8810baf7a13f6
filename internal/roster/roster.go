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
	// LivenessTimeout is the minimum time for which a member counts as alive after its heartbeat counter last advanced:
	// six gossip rounds.
	LivenessTimeout = 2500 * time.Millisecond
	// freshMembers is the number of members whose heartbeats are all updated within LivenessTimeout. In a larger fleet,
	// the timeout grows in proportion, since a datagram holds a limited number of members.
	freshMembers = 24
	// evictAfter is how long an unresponsive member is retained, so that its old heartbeats are not mistaken for updates.
	evictAfter = time.Minute
	// maxMembers limits the memory of a roster; the design goal is a fleet of 450 daemons.
	maxMembers = 2000
)

// Member is one daemon.
type Member struct {
	Name string
	// Address is where the member receives datagrams, and CopyAddress where it serves copies of the platform state.
	Address          string
	CopyAddress      string
	AvailabilityZone string
	// Incarnation is when the member started, in Unix milliseconds, or a later number if that is not above the one of an
	// earlier process.
	Incarnation uint64
	// Heartbeat is the heartbeat counter, which the member increments in each gossip round.
	Heartbeat uint64
	Leaving   bool
	// Capacity is the member's CPU capacity in thousandths of a core, or 0 if it is unknown.
	Capacity uint32
	// Settled is set once the member has run long enough to know the others.
	Settled bool
}

// newer reports whether m is more recent than o, a record of the same daemon.
func (m Member) newer(o Member) bool {
	if m.Incarnation != o.Incarnation {
		return m.Incarnation > o.Incarnation
	}
	return m.Heartbeat > o.Heartbeat
}

// WithoutAddress returns the member without its addresses, availability zone and capacity. Receivers take these from an
// earlier record of the same incarnation.
func (m Member) WithoutAddress() Member {
	m.Address, m.CopyAddress, m.AvailabilityZone, m.Capacity = "", "", "", 0
	return m
}

type record struct {
	member   Member
	lastSeen time.Time
}

// Roster is one daemon's list of all daemons.
type Roster struct {
	mu    sync.Mutex
	self  Member
	known map[string]record
}

// New returns a roster that holds only the daemon itself.
func New(self Member) *Roster {
	return &Roster{self: self, known: map[string]record{}}
}

// AdvanceHeartbeat increments the daemon's own heartbeat counter and returns the daemon itself.
func (r *Roster) AdvanceHeartbeat() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Heartbeat++
	return r.self
}

// Self returns the daemon itself.
func (r *Roster) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// MarkLeaving marks the daemon itself as leaving.
func (r *Roster) MarkLeaving() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Leaving = true
}

// MarkSettled marks the daemon itself as settled.
func (r *Roster) MarkSettled() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Settled = true
}

// Merge adds members received from another daemon and keeps the newer record of each.
func (r *Roster) Merge(ms []Member, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range ms {
		if m.Name == r.self.Name && m.Incarnation > r.self.Incarnation {
			// The clock was set back before this process started, and the others still know of the one before. They would ignore
			// this one as an older record.
			r.self.Incarnation = m.Incarnation + 1
		}
		old, ok := r.known[m.Name]
		if m.Name == r.self.Name || ok && !m.newer(old.member) || !ok && len(r.known) >= maxMembers {
			continue
		}
		if m.Address == "" {
			// The addresses of a new incarnation come only in its own datagrams and in membership syncs.
			if !ok || m.Incarnation != old.member.Incarnation {
				continue
			}
			m.Address, m.CopyAddress = old.member.Address, old.member.CopyAddress
			m.AvailabilityZone, m.Capacity = old.member.AvailabilityZone, old.member.Capacity
		}
		r.known[m.Name] = record{member: m, lastSeen: now}
	}
	for name, rec := range r.known {
		if now.Sub(rec.lastSeen) > evictAfter {
			delete(r.known, name)
		}
	}
}

// Find returns the named daemon, unless it is the daemon itself.
func (r *Roster) Find(name string) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.known[name]
	return rec.member, ok
}

// Peers returns the other daemons that are alive and not leaving, ordered by name.
func (r *Roster) Peers(now time.Time) []Member {
	return lo.Reject(r.PeersAndLeaving(now), func(m Member, _ int) bool { return m.Leaving })
}

// PeersAndLeaving returns the other daemons that are alive, ordered by name. Those that are leaving still serve their last
// requests.
func (r *Roster) PeersAndLeaving(now time.Time) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Member
	for _, rec := range r.known {
		if now.Sub(rec.lastSeen) <= r.livenessTimeout() {
			out = append(out, rec.member)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// AliveNames returns the names of all live daemons, including the daemon itself unless it is leaving.
func (r *Roster) AliveNames(now time.Time) []string {
	return lo.Map(r.Alive(now), func(m Member, _ int) string { return m.Name })
}

// Alive returns all live daemons, including the daemon itself unless it is leaving.
func (r *Roster) Alive(now time.Time) []Member {
	alive := r.Peers(now)
	if self := r.Self(); !self.Leaving {
		alive = append(alive, self)
	}
	return alive
}

// Serving returns all live daemons that are not leaving or, if there are none, those that are leaving, including the daemon
// itself.
func (r *Roster) Serving(now time.Time) []Member {
	if alive := r.Alive(now); len(alive) > 0 {
		return alive
	}
	return append(r.PeersAndLeaving(now), r.Self())
}

// KnownNames returns the names of all daemons that were alive within the last minute, including the daemon itself.
func (r *Roster) KnownNames() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	names := []string{r.self.Name}
	for name := range r.known {
		names = append(names, name)
	}
	return names
}

// RecentCount returns the number of daemons that were alive within the last minute and have not left, including the
// daemon itself.
func (r *Roster) RecentCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return 1 + lo.CountBy(lo.Values(r.known), func(rec record) bool { return !rec.member.Leaving })
}

// Sample returns up to n random live members, including those that are leaving.
func (r *Roster) Sample(n int, now time.Time) []Member {
	return r.sample(n, now, func([]record) {})
}

// SamplePreferringZone returns up to n random live members. All but the last are in the daemon's own availability zone
// if that has enough of them, and the last one may be in any zone, so that updates spread within a zone and only some
// datagrams cross zones.
func (r *Roster) SamplePreferringZone(n int, now time.Time) []Member {
	own := r.Self().AvailabilityZone
	near := r.sample(n-1, now, func(out []record) {
		slices.SortStableFunc(out, func(a, b record) int {
			return cmp.Compare(lo.Ternary(a.member.AvailabilityZone == own, 0, 1), lo.Ternary(b.member.AvailabilityZone == own, 0, 1))
		})
	})
	selected := func(m Member) bool { return lo.ContainsBy(near, func(o Member) bool { return o.Name == m.Name }) }
	return append(near, lo.Slice(lo.Reject(r.Sample(n, now), func(m Member, _ int) bool { return selected(m) }), 0, 1)...)
}

// MostRecentlySeen returns up to n live members, the most recently updated ones, so that updates are forwarded while
// they are fresh.
func (r *Roster) MostRecentlySeen(n int, now time.Time) []Member {
	return r.sample(n, now, func(out []record) {
		slices.SortStableFunc(out, func(a, b record) int { return b.lastSeen.Compare(a.lastSeen) })
	})
}

// livenessTimeout returns how long a member counts as alive after its heartbeat counter last advanced. The caller holds
// mu.
func (r *Roster) livenessTimeout() time.Duration {
	return max(LivenessTimeout, LivenessTimeout*time.Duration(len(r.known))/freshMembers)
}

func (r *Roster) sample(n int, now time.Time, order func([]record)) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []record
	for _, rec := range r.known {
		if now.Sub(rec.lastSeen) <= r.livenessTimeout() {
			out = append(out, rec)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	order(out)
	return lo.Map(out[:min(n, len(out))], func(rec record, _ int) Member { return rec.member })
}
