package node

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/booking"
	"github.com/knapweedpoint/knapweedpoint/internal/configuration"
	"github.com/knapweedpoint/knapweedpoint/internal/confirmation"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/lease"
	"github.com/knapweedpoint/knapweedpoint/internal/membership"
	"github.com/knapweedpoint/knapweedpoint/internal/peer"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
	"github.com/knapweedpoint/knapweedpoint/internal/policy"
	"github.com/knapweedpoint/knapweedpoint/internal/quarantine"
	"github.com/knapweedpoint/knapweedpoint/internal/relay"
	"github.com/knapweedpoint/knapweedpoint/internal/root"
	"github.com/knapweedpoint/knapweedpoint/pkg/platform"
	"github.com/knapweedpoint/knapweedpoint/pkg/target"
)

// Options are the settings and dependencies of a node.
type Options struct {
	// Name is the VM's name in the platform's list.
	Name string
	// Incarnation differs at each start of the daemon.
	Incarnation string
	// Seed makes the node's random choices reproducible.
	Seed uint64
	// Runner sends requests to targets.
	Runner target.Runner
	// Exchanger sends messages to other daemons.
	Exchanger peer.Exchanger
	// Policy defines how targets are reached; nil means policy.Relayed.
	Policy policy.Policy
	// BookingMargin is the longest time by which the VM lists of two daemons are assumed to differ.
	BookingMargin time.Duration
	Log           *zap.Logger
}

// Node is one daemon without its sockets.
type Node struct {
	Board    *blackboard.Board
	Root     *root.Root
	Relay    *relay.Relay
	Acceptor *configuration.Acceptor
	Register *quarantine.Register
	Outboxes *peer.Outboxes
	Group    sync.WaitGroup

	options  Options
	witness  booking.Witness
	voter    *lease.Voter
	list     blackboard.Cell[platform.VMList]
	fetching sync.Mutex
}

// New returns a node that has no configuration and knows no other VM.
func New(o Options) *Node {
	n := &Node{options: o, Board: &blackboard.Board{}, Register: &quarantine.Register{}, voter: lease.NewVoter(time.Now())}
	n.Board.View.Set(&membership.View{Self: o.Name})
	n.Board.Confirmation.Set(&confirmation.Confirmation{})
	n.Acceptor = &configuration.Acceptor{Board: n.Board, Log: o.Log}
	n.witness.Margin = o.BookingMargin
	n.Outboxes = &peer.Outboxes{Exchanger: o.Exchanger, Board: n.Board, Handler: n, Group: &n.Group, Log: o.Log}
	n.Relay = &relay.Relay{
		Board: n.Board, Runner: o.Runner, Register: n.Register, Sender: n,
		Group: &n.Group, Policy: o.Policy, Log: o.Log,
	}
	n.Root = root.NewRoot(o.Seed)
	n.Root.Board = n.Board
	n.Root.Register = n.Register
	n.Root.Sender = n
	n.Root.Group = &n.Group
	n.Root.Policy = o.Policy
	n.Root.BookingMargin = o.BookingMargin
	n.Root.Log = o.Log
	return n
}

// Heartbeat returns the node's current heartbeat.
func (n *Node) Heartbeat() *peerpb.Beat {
	now := time.Now()
	c := n.Board.Confirmation.Get()
	return &peerpb.Beat{
		Incarnation:           n.options.Incarnation,
		Draining:              n.Board.IsDraining(),
		ListRevision:          n.Board.View.Get().ListRevision,
		ConfigurationRevision: n.Acceptor.Revision(),
		ConfirmedAgeMs:        ageMs(c.TreeAge(now)),
		ListConfirmedAgeMs:    ageMs(c.ListAge(now)),
	}
}

// ageMs rounds an age up, so that a confirmation never seems more recent than it is; it returns -1 for no confirmation.
func ageMs(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return (age + time.Millisecond - 1).Milliseconds()
}

// Receive handles an envelope from a peer and acknowledges it.
func (n *Node) Receive(e *peerpb.Envelope) *peerpb.Ack {
	n.Deliver(e)
	return &peerpb.Ack{Beat: n.Heartbeat()}
}

// Deliver passes each message of an envelope to the component that handles it.
func (n *Node) Deliver(e *peerpb.Envelope) {
	if e.Beat != nil {
		n.handleBeat(e.From, e.Beat)
	}
	for _, s := range e.Suspicions {
		n.recordSuspicion(s)
	}
	for _, id := range e.Cancels {
		n.Relay.Cancel(e.From, id)
	}
	for _, q := range e.Requests {
		n.Relay.Submit(e.From, q)
	}
	for _, r := range e.Results {
		n.Root.DeliverResult(r)
	}
	n.deliverVotes(e)
	n.deliverClaims(e)
}

func (n *Node) deliverVotes(e *peerpb.Envelope) {
	now := time.Now()
	from := lease.Process{Name: e.From, Incarnation: e.GetBeat().GetIncarnation()}
	for _, a := range e.LeaseAsks {
		granted := n.voter.Vote(from, a, n.Board.View.Get(), n.Board.Confirmation.Get().ListFresh(now), now)
		v := &peerpb.LeaseVote{Target: a.Target, Round: a.Round, Granted: granted}
		n.Outboxes.Enqueue(e.From, 1, func(out *peerpb.Envelope) { out.LeaseVotes = append(out.LeaseVotes, v) })
	}
	for _, v := range e.LeaseVotes {
		n.Relay.DeliverVote(e.From, v)
	}
}

func (n *Node) deliverClaims(e *peerpb.Envelope) {
	now := time.Now()
	for _, o := range e.ClaimOutcomes {
		n.witness.RecordOutcome(o, now)
	}
	for _, c := range e.Claims {
		v := n.witness.Claim(c, n.Board.View.Get(), n.Board.Confirmation.Get().ListFresh(now), now)
		v.Witness = n.options.Name
		n.Outboxes.Enqueue(e.From, 1, func(out *peerpb.Envelope) { out.ClaimReplies = append(out.ClaimReplies, v) })
	}
	for _, v := range e.ClaimReplies {
		n.Root.DeliverClaim(v)
	}
}

// handleBeat handles the heartbeat in a peer's own envelope. It may be stale by now, so it confirms nothing.
func (n *Node) handleBeat(from string, b *peerpb.Beat) {
	m, ok := n.Board.View.Get().Member(from)
	if !ok {
		return
	}
	if m.Draining != b.Draining || m.Incarnation != b.Incarnation {
		n.updateView(func(v membership.View) membership.View { return v.WithHeartbeat(from, b, time.Time{}) })
	}
	n.catchUp(from, b)
}

// HandleAck handles the heartbeat in an acknowledgement: its contents were true at some time after the envelope was
// sent.
func (n *Node) HandleAck(from string, b *peerpb.Beat, sent time.Time) {
	if b == nil {
		return
	}
	n.updateView(func(v membership.View) membership.View { return v.WithHeartbeat(from, b, sent) })
	n.Board.Confirmation.Update(func(c *confirmation.Confirmation) *confirmation.Confirmation {
		next := *c
		if b.ConfigurationRevision == n.Acceptor.Revision() && b.ConfirmedAgeMs >= 0 {
			next = next.WithTree(sent.Add(-time.Duration(b.ConfirmedAgeMs) * time.Millisecond))
		}
		if b.ListRevision == n.Board.View.Get().ListRevision && b.ListConfirmedAgeMs >= 0 {
			next = next.WithList(sent.Add(-time.Duration(b.ListConfirmedAgeMs) * time.Millisecond))
		}
		return &next
	})
	n.catchUp(from, b)
}

func (n *Node) updateView(change func(membership.View) membership.View) {
	n.Board.View.Update(func(v *membership.View) *membership.View {
		next := change(*v)
		return &next
	})
}

// catchUp fetches the configuration and the VM list from a peer that has a later revision of either.
func (n *Node) catchUp(from string, b *peerpb.Beat) {
	if b.ConfigurationRevision <= n.Acceptor.Revision() && b.ListRevision <= n.Board.View.Get().ListRevision {
		return
	}
	if !n.fetching.TryLock() {
		return
	}
	n.Group.Go(func() {
		defer n.fetching.Unlock()
		n.Fetch(context.Background(), from)
	})
}

const fetchTimeout = 500 * time.Millisecond

// Fetch requests a later configuration and VM list from a peer; it reports whether the peer answered.
func (n *Node) Fetch(ctx context.Context, from string) bool {
	m, ok := n.Board.View.Get().Member(from)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	reply, err := n.options.Exchanger.Configuration(ctx, m.Address, &peerpb.ConfigurationRequest{
		After: n.Acceptor.Revision(), ListAfter: n.Board.View.Get().ListRevision,
	})
	if err != nil {
		return false
	}
	if len(reply.Tree) > 0 {
		events.ConfigurationByPeer.Log(n.options.Log, zap.String("peer", from), zap.Uint64("revision", reply.Revision))
		n.Acceptor.Offer(reply.Tree, "peer "+from)
	}
	var list platform.VMList
	if len(reply.List) > 0 && json.Unmarshal(reply.List, &list) == nil {
		n.AcceptList(list)
	}
	return true
}

// Configuration returns the configuration and the VM list, each only if it is later than the one that the peer has.
func (n *Node) Configuration(q *peerpb.ConfigurationRequest) *peerpb.ConfigurationReply {
	reply := &peerpb.ConfigurationReply{}
	if raw, revision := n.Acceptor.Raw(); revision > q.After {
		reply.Revision, reply.Tree = revision, raw
	}
	if list := n.list.Get(); list != nil && list.Revision > q.ListAfter {
		reply.List, _ = json.Marshal(list)
	}
	return reply
}

// AcceptList puts a VM list in force if its revision is later than the present one's.
func (n *Node) AcceptList(l platform.VMList) {
	accepted := false
	n.Board.View.Update(func(v *membership.View) *membership.View {
		if l.Revision <= v.ListRevision {
			return v
		}
		accepted = true
		next := v.WithList(l, time.Now())
		return &next
	})
	if accepted {
		n.list.Set(&l)
		events.ListTaken.Log(n.options.Log, zap.Uint64("revision", l.Revision), zap.Int("vms", len(l.VMs)))
	}
}

// ConfirmTree records that no later configuration was published at the given time.
func (n *Node) ConfirmTree(at time.Time) {
	n.Board.Confirmation.Update(func(c *confirmation.Confirmation) *confirmation.Confirmation {
		next := c.WithTree(at)
		return &next
	})
}

// ConfirmList records that no later VM list was published at the given time.
func (n *Node) ConfirmList(at time.Time) {
	n.Board.Confirmation.Update(func(c *confirmation.Confirmation) *confirmation.Confirmation {
		next := c.WithList(at)
		return &next
	})
}

// ConfirmByMajority confirms the configuration and the VM list as of the given time, since which most VMs have answered.
// Each of the two is confirmed only if no VM has a later revision of it.
func (n *Node) ConfirmByMajority(at time.Time) {
	v := n.Board.View.Get()
	revision := n.Acceptor.Revision()
	if !slices.ContainsFunc(v.Members, func(m membership.Member) bool { return m.ConfigurationRevision > revision }) {
		n.ConfirmTree(at)
	}
	if !slices.ContainsFunc(v.Members, func(m membership.Member) bool { return m.ListRevision > v.ListRevision }) {
		n.ConfirmList(at)
	}
}

// Drain marks this daemon as draining, which its heartbeats report to the other daemons.
func (n *Node) Drain() {
	n.Board.SetPhase(blackboard.Draining{})
	b := n.Heartbeat()
	n.updateView(func(v membership.View) membership.View { return v.WithHeartbeat(v.Self, b, time.Time{}) })
}

// Idle reports whether the node has no work of its own or of other daemons.
func (n *Node) Idle() bool {
	return n.Relay.Idle() && n.Root.Idle()
}

// Bookings returns the number of keys that the node's witness retains.
func (n *Node) Bookings() int {
	return n.witness.Len()
}
