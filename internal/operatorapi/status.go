package operatorapi

import (
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/membership"
	"github.com/knapweedpoint/knapweedpoint/internal/node"
	"github.com/knapweedpoint/knapweedpoint/internal/relay"
)

// Status is the state of a daemon, including its view of the other VMs.
type Status struct {
	Name                  string               `json:"name"`
	Phase                 string               `json:"phase"`
	Ready                 bool                 `json:"ready"`
	Reason                string               `json:"reason,omitempty"`
	ConfigurationRevision uint64               `json:"configurationRevision"`
	ConfirmedAgeMs        int64                `json:"confirmedAgeMs"`
	ListRevision          uint64               `json:"listRevision"`
	InFlight              int                  `json:"inFlight"`
	FirstSends            uint64               `json:"firstSends"`
	ExtraSends            uint64               `json:"extraSends"`
	TargetRequests        uint64               `json:"targetRequests"`
	Suspects              int                  `json:"suspects"`
	BookingKeys           int                  `json:"bookingKeys"`
	Members               []Member             `json:"members"`
	Targets               []relay.TargetStatus `json:"targets"`
}

// Member is a VM as the daemon sees it. LastSeenAgeMs is the age of the newest message to the VM that the
// VM has acknowledged, or -1 when there is none.
type Member struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availabilityZone"`
	State            string `json:"state"`
	LastSeenAgeMs    int64  `json:"heardAgeMs"`
	Revision         uint64 `json:"configurationRevision"`
}

// NewStatus returns the current status of a node.
func NewStatus(n *node.Node, zone string) Status {
	now := time.Now()
	view := n.Board.View.Get()
	first, extra := n.Root.Budget.Counts()
	reason := NotReadyReason(n, zone, now)
	return Status{
		Name: view.Self, Phase: n.Board.PhaseName(), Ready: reason == "", Reason: reason,
		ConfigurationRevision: n.Acceptor.Revision(),
		ConfirmedAgeMs:        n.Board.Confirmation.Get().TreeAge(now).Milliseconds(),
		ListRevision:          view.ListRevision,
		InFlight:              n.Root.Gate.InFlight(), FirstSends: first, ExtraSends: extra,
		TargetRequests: n.Relay.Sends(), Suspects: n.Register.Len(), BookingKeys: n.Bookings(),
		Members: lo.Map(view.Members, func(m membership.Member, _ int) Member { return member(m, view.Self, now) }),
		Targets: n.Relay.Status(),
	}
}

func member(m membership.Member, self string, now time.Time) Member {
	out := Member{Name: m.Name, AvailabilityZone: m.AvailabilityZone, State: "live", LastSeenAgeMs: -1, Revision: m.ConfigurationRevision}
	if !m.LastSeen.IsZero() {
		out.LastSeenAgeMs = now.Sub(m.LastSeen).Milliseconds()
	}
	switch {
	case m.Name == self:
		out.State = "self"
	case m.Leaving:
		out.State = "leaving"
	case m.Draining:
		out.State = "draining"
	case !m.Usable(now):
		out.State = "suspect"
	}
	return out
}

// NotReadyReason returns why the daemon should get no new requests, or an empty string when it is ready.
func NotReadyReason(n *node.Node, zone string, now time.Time) string {
	tree := n.Board.Tree.Get()
	switch {
	case n.Board.PhaseName() != "serving":
		return n.Board.PhaseName()
	case tree == nil:
		return "noConfiguration"
	case !n.Board.Confirmation.Get().Fresh(now):
		return "cutOff"
	case tree.ZoneTakenOut(zone):
		return "zoneOut"
	default:
		return ""
	}
}
