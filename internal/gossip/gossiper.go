package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/roster"
	"github.com/knapweedpoint/knapweedpoint/internal/throttle"
	"github.com/knapweedpoint/knapweedpoint/internal/traffic"
	"github.com/knapweedpoint/knapweedpoint/internal/workers"
)

const (
	// Interval is the time between two gossip rounds; a member counts as alive for at least six of them.
	Interval = 400 * time.Millisecond
	// fanOut is the number of peers that one round sends to.
	fanOut = 3
	// sampleSize is the number of members in one datagram, at about 30 bytes each.
	sampleSize = 12
	// syncSize is the maximum number of members in a membership sync, at about 100 bytes each.
	syncSize = 250
	// syncThreshold is a share of the members that this daemon knows, itself included; a peer that knows fewer is sent a
	// membership sync.
	syncThreshold = 0.96
	// seedEvery is the number of rounds between datagrams to a seed, which reunite a fleet after a network
	// partition.
	seedEvery = 5
	// leaveRepeats is the number of rounds after a leave that announce it again, for peers whose datagram was lost. Each
	// sends about 40 bytes to every peer.
	leaveRepeats = 2
	// emptyWait is how long a read of the socket takes at least if the socket was empty when the read began.
	emptyWait = 200 * time.Microsecond
	// MaxDatagram is the maximum size of a datagram in bytes; UDP allows up to 64 KB.
	MaxDatagram = 32 << 10
)

// Receiver handles the datagrams that arrive.
type Receiver interface {
	// HandleDatagram handles one datagram from a peer, which has not arrived before arrivedAfter.
	HandleDatagram(from roster.Member, d *gossippb.Datagram, arrivedAfter time.Time)
}

// Gossiper sends and receives a daemon's datagrams.
type Gossiper struct {
	Roster *roster.Roster
	// Conn sends and receives datagrams.
	Conn net.PacketConn
	// Seeds returns the datagram addresses of the seeds.
	Seeds    func() []string
	Receiver Receiver
	// Advertised returns what this daemon advertises to its peers: the version of its configuration, or 0 while it has
	// none, and the revision after which its history of target changes is complete.
	Advertised func() (version, era, since uint64)
	// Limits returns the rate limits of targets, and Crashes the losses of suspected requests, that each gossip round passes
	// on. Both are optional.
	Limits  func() []*gossippb.TargetLimit
	Crashes func() []*gossippb.Crash
	// Meter counts the bytes sent; it may be nil.
	Meter *traffic.Meter
	Log   *zap.Logger
	// OnPanic is called if handling a datagram panics, and the next datagrams are still handled. If it is nil, a panic
	// ends the process.
	OnPanic func(value any, stack []byte)

	// leavesToSend is the number of rounds that still announce this daemon's leave.
	leavesToSend atomic.Int32
	// syncLimiter limits the rate of membership syncs to one daemon, as other daemons send them too.
	syncLimiter throttle.Limiter
}

// Run runs a gossip round at each interval until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		g.round(round)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (g *Gossiper) round(round int) {
	now := time.Now()
	self := g.Roster.AdvanceHeartbeat()
	version, era, since := g.Advertised()
	d := &gossippb.Datagram{
		Self:    encodeMember(self),
		Version: version,
		Era:     era,
		Since:   since,
		Known:   uint32(len(g.Roster.Peers(now)) + 1),
		Members: lo.Map(g.Roster.MostRecentlySeen(sampleSize, now), func(m roster.Member, _ int) *gossippb.Member { return encodeMember(m.WithoutAddress()) }),
	}
	if g.Limits != nil {
		d.Limits = g.Limits()
	}
	if g.Crashes != nil {
		d.Crashes = g.Crashes()
	}
	if g.leavesToSend.Load() > 0 {
		g.leavesToSend.Add(-1)
		g.Broadcast(&gossippb.Datagram{})
	}
	for _, p := range g.Roster.SamplePreferringZone(fanOut, now) {
		g.send(p, d)
	}
	if seeds := g.Seeds(); len(seeds) > 0 && (round%seedEvery == 0 || len(g.Roster.Peers(now)) == 0) {
		g.send(roster.Member{Address: seeds[rand.IntN(len(seeds))]}, d)
	}
}

// Broadcast sends a datagram to every live peer, including those that are leaving.
func (g *Gossiper) Broadcast(d *gossippb.Datagram) {
	d.Self = encodeMember(g.Roster.Self().WithoutAddress())
	data, ok := g.encode(d)
	if !ok {
		return
	}
	for _, p := range g.Roster.PeersAndLeaving(time.Now()) {
		g.write(p, kindOf(d), data)
	}
}

// Leave notifies all live peers at once that this daemon is leaving, and again in the next rounds. Gossip would take seconds
// in a large fleet.
func (g *Gossiper) Leave() {
	g.Roster.MarkLeaving()
	g.Roster.AdvanceHeartbeat()
	g.Broadcast(&gossippb.Datagram{})
	g.leavesToSend.Store(leaveRepeats)
}

// AnnounceSettled notifies all live peers at once that this daemon is settled.
func (g *Gossiper) AnnounceSettled() {
	g.Roster.MarkSettled()
	self := encodeMember(g.Roster.AdvanceHeartbeat())
	for _, p := range g.Roster.PeersAndLeaving(time.Now()) {
		g.send(p, &gossippb.Datagram{Self: self})
	}
}

// Send sends a datagram to one daemon, with this daemon's addresses in case that daemon does not know them.
func (g *Gossiper) Send(to roster.Member, d *gossippb.Datagram) {
	d.Self = encodeMember(g.Roster.Self())
	g.send(to, d)
}

func (g *Gossiper) send(member roster.Member, d *gossippb.Datagram) {
	if data, ok := g.encode(d); ok {
		g.write(member, kindOf(d), data)
	}
}

// encode encodes a datagram. It returns false if encoding fails or the datagram is oversized.
func (g *Gossiper) encode(d *gossippb.Datagram) ([]byte, bool) {
	data, err := proto.Marshal(d)
	if err != nil || len(data) > MaxDatagram {
		events.DatagramFailed.Log(g.Log, zap.Int("bytes", len(data)), zap.Error(err))
		return nil, false
	}
	return data, true
}

func (g *Gossiper) write(member roster.Member, kind traffic.Kind, data []byte) {
	g.Meter.Add(kind, member.AvailabilityZone, len(data))
	to, err := net.ResolveUDPAddr("udp4", member.Address)
	if err == nil {
		_, err = g.Conn.WriteTo(data, to)
	}
	if err != nil {
		events.DatagramFailed.Log(g.Log, zap.String("to", member.Address), zap.Error(err))
	}
}

// kindOf returns the kind of traffic that a datagram's bytes count as.
func kindOf(d *gossippb.Datagram) traffic.Kind {
	switch {
	case d.GetPartsReply() != nil:
		return traffic.Blocks
	case d.GetPartsCall() != nil || d.GetPartsGrant() != nil || d.GetPartsCancel() != nil:
		return traffic.Calls
	case d.GetPush() != nil:
		return traffic.Pushes
	case d.GetPermitRequest() != nil || d.GetPermitReply() != nil:
		return traffic.Calls
	case d.GetKnown() == 0 && len(d.GetStalls())+len(d.GetCrashes())+len(d.GetCleared())+len(d.GetLimits()) > 0:
		return traffic.Hints
	default:
		return traffic.Gossip
	}
}

// Receive handles datagrams until the connection is closed. Datagrams are read into an inbox without waiting for their
// handling, and cancellations are handled first: a daemon that fell behind does not start calls that were cancelled in
// the meantime.
func (g *Gossiper) Receive() {
	var box inbox
	var group errgroup.Group
	group.Go(func() error {
		for ds := range box.batches() {
			for _, d := range ds {
				workers.Protect(func() { g.handle(d) }, g.OnPanic)
			}
		}
		return nil
	})
	g.read(&box)
	box.close()
	_ = group.Wait()
}

func (g *Gossiper) read(box *inbox) {
	buffer := make([]byte, MaxDatagram)
	emptyAt := time.Now()
	for {
		began := time.Now()
		n, _, err := g.Conn.ReadFrom(buffer)
		if time.Since(began) > emptyWait {
			emptyAt = began
		}
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			events.DatagramFailed.Log(g.Log, zap.Error(err))
			continue
		}
		var d gossippb.Datagram
		if err := proto.Unmarshal(buffer[:n], &d); err != nil || d.GetSelf().GetName() == "" {
			events.DatagramOdd.Log(g.Log, zap.Int("bytes", n), zap.Error(err))
			continue
		}
		if !box.put(received{Datagram: &d, arrivedAfter: emptyAt}, n) {
			events.DatagramFailed.Log(g.Log, zap.Int("dropped", n))
		}
	}
}

func (g *Gossiper) handle(d received) {
	from := decodeMember(d.GetSelf())
	g.syncMembers(from, int(d.GetKnown()))
	ms := lo.Map(d.GetMembers(), func(m *gossippb.Member, _ int) roster.Member { return decodeMember(m) })
	g.Roster.Merge(append(ms, from), time.Now())
	if g.Receiver != nil {
		g.Receiver.HandleDatagram(from, d.Datagram, d.arrivedAfter)
	}
}

// syncMembers sends a membership sync to a daemon that knows far fewer members than this one.
func (g *Gossiper) syncMembers(to roster.Member, known int) {
	now := time.Now()
	if known == 0 || float64(known) >= syncThreshold*float64(len(g.Roster.Peers(now))+1) || to.Address == "" {
		return
	}
	if g.syncLimiter.Allow(to.Name, now) {
		g.send(to, g.membershipSync())
	}
}

// membershipSync returns a datagram with members and their addresses.
func (g *Gossiper) membershipSync() *gossippb.Datagram {
	d := &gossippb.Datagram{Self: encodeMember(g.Roster.Self())}
	for _, m := range g.Roster.Sample(syncSize, time.Now()) {
		d.Members = append(d.Members, encodeMember(m))
	}
	return d
}

func encodeMember(m roster.Member) *gossippb.Member {
	return &gossippb.Member{
		Name: m.Name, Address: m.Address, Copies: m.CopyAddress, AvailabilityZone: m.AvailabilityZone,
		Incarnation: m.Incarnation, Beat: m.Heartbeat, Leaving: m.Leaving, Capacity: m.Capacity,
		Settled: m.Settled,
	}
}

func decodeMember(m *gossippb.Member) roster.Member {
	return roster.Member{
		Name: m.GetName(), Address: m.GetAddress(), CopyAddress: m.GetCopies(), AvailabilityZone: m.GetAvailabilityZone(),
		Incarnation: m.GetIncarnation(), Heartbeat: m.GetBeat(), Leaving: m.GetLeaving(), Capacity: m.GetCapacity(),
		Settled: m.GetSettled(),
	}
}
