package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
	"github.com/knapweedpoint/knapweedpoint/pkg/platform"
)

// Timeouts of the view.
const (
	// SuspectFor is how long a VM that did not acknowledge an envelope is routed around.
	SuspectFor = time.Second
	// SeenWithin is how recently a VM must have answered to count towards a majority.
	SeenWithin = 2 * time.Second
	// HistoryRetention is how long earlier lists are retained, to determine since when this VM has been a witness or voter.
	HistoryRetention = 15 * time.Minute
	maxHistory       = 256
)

// Member is one listed VM with the state that this daemon last received from it.
type Member struct {
	Name             string
	AvailabilityZone string
	Address          string
	// Leaving says that the platform lists the VM as leaving.
	Leaving bool
	// Draining says that the VM's daemon was asked to stop.
	Draining bool
	// Incarnation is that of the VM's daemon, empty until it is received.
	Incarnation string
	// SuspectUntil is the time up to which the VM is routed around.
	SuspectUntil time.Time
	// LastSeen is when the latest acknowledged envelope was sent.
	LastSeen time.Time
	// ConfigurationRevision and ListRevision are the revisions in the VM's last heartbeat.
	ConfigurationRevision uint64
	ListRevision          uint64
}

// Usable reports whether new work may be routed through the member.
func (m Member) Usable(now time.Time) bool {
	return !m.Leaving && !m.Draining && !now.Before(m.SuspectUntil)
}

// View is one daemon's view of the VMs; its methods return changed copies.
type View struct {
	// Self is the name of this daemon's VM.
	Self string
	// ListRevision is the revision of the platform's list.
	ListRevision uint64
	// Members are sorted by name.
	Members []Member
	// History holds the present and the earlier sets of VMs, newest first.
	History []Epoch
}

// Epoch is a period in which the set of listed VMs did not change.
type Epoch struct {
	// Since is when this daemon received the first list with this set.
	Since time.Time
	// Members are the list's VMs that were not leaving, with their availability zones.
	Members []Member
}

// WithList returns a copy with another list; the state received from VMs that keep their address is retained.
func (v View) WithList(l platform.VMList, now time.Time) View {
	old := lo.KeyBy(v.Members, func(m Member) string { return m.Name })
	v.ListRevision = l.Revision
	v.Members = lo.Map(l.VMs, func(vm platform.VM, _ int) Member {
		m := old[vm.Name]
		if m.Address != vm.PeerAddress {
			m = Member{}
		}
		m.Name = vm.Name
		m.AvailabilityZone = vm.AvailabilityZone
		m.Address = vm.PeerAddress
		m.Leaving = vm.State == platform.VMLeaving
		return m
	})
	slices.SortFunc(v.Members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	v.History = v.updatedHistory(now)
	return v
}

// updatedHistory returns the history with the present set of VMs, without the epochs that ended more than HistoryRetention
// ago.
func (v View) updatedHistory(now time.Time) []Epoch {
	retained := lo.Filter(v.History, func(_ Epoch, i int) bool {
		ended := i > 0 && now.Sub(v.History[i-1].Since) > HistoryRetention
		return !ended && i < maxHistory
	})
	epoch := Epoch{Since: now, Members: v.Voting()}
	if len(retained) > 0 && sameVMs(retained[0].Members, epoch.Members) {
		return retained
	}
	return append([]Epoch{epoch}, retained...)
}

func sameVMs(a, b []Member) bool {
	return slices.EqualFunc(a, b, func(x, y Member) bool {
		return x.Name == y.Name && x.Address == y.Address
	})
}

// WithHeartbeat returns a copy that includes a heartbeat; seen is the zero time if the heartbeat may be stale.
func (v View) WithHeartbeat(from string, b *peerpb.Beat, seen time.Time) View {
	return v.withMember(from, func(m Member) Member {
		m.Draining = b.Draining
		m.Incarnation = b.Incarnation
		m.ConfigurationRevision = b.ConfigurationRevision
		m.ListRevision = b.ListRevision
		if seen.After(m.LastSeen) {
			m.LastSeen = seen
			m.SuspectUntil = time.Time{}
		}
		return m
	})
}

// WithSuspect returns a copy that routes around a VM for SuspectFor.
func (v View) WithSuspect(name string, now time.Time) View {
	return v.withMember(name, func(m Member) Member {
		m.SuspectUntil = now.Add(SuspectFor)
		return m
	})
}

func (v View) withMember(name string, change func(Member) Member) View {
	i := v.index(name)
	if i < 0 {
		return v
	}
	v.Members = slices.Clone(v.Members)
	v.Members[i] = change(v.Members[i])
	return v
}

func (v View) index(name string) int {
	i, ok := slices.BinarySearchFunc(v.Members, name, func(m Member, n string) int { return strings.Compare(m.Name, n) })
	if !ok {
		return -1
	}
	return i
}

// Member returns the named VM.
func (v View) Member(name string) (Member, bool) {
	i := v.index(name)
	if i < 0 {
		return Member{}, false
	}
	return v.Members[i], true
}

// Voting returns the listed VMs that are not leaving, sorted by name.
func (v View) Voting() []Member {
	return lo.Filter(v.Members, func(m Member, _ int) bool { return !m.Leaving })
}

// Peers returns the listed VMs other than this one.
func (v View) Peers() []Member {
	return lo.Filter(v.Members, func(m Member, _ int) bool { return m.Name != v.Self })
}

// MajoritySeenAt returns a time since which more than half of the voting VMs, this one included, have answered; it
// returns false if that time is longer ago than SeenWithin.
func (v View) MajoritySeenAt(now time.Time) (time.Time, bool) {
	voting := v.Voting()
	times := lo.Map(voting, func(m Member, _ int) time.Time {
		if m.Name == v.Self {
			return now
		}
		return m.LastSeen
	})
	slices.SortFunc(times, func(a, b time.Time) int { return b.Compare(a) })
	if len(times) == 0 {
		return time.Time{}, false
	}
	at := times[len(times)/2]
	return at, !at.IsZero() && now.Sub(at) <= SeenWithin
}

// SelectedSince returns since when this VM has been, without a break, among the names that pick selects; it returns false
// if this VM is not among them now.
func (v View) SelectedSince(pick func(members []Member) []string) (time.Time, bool) {
	var since time.Time
	for _, e := range v.History {
		if !lo.Contains(pick(e.Members), v.Self) {
			break
		}
		since = e.Since
	}
	return since, !since.IsZero()
}
