package gossip

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/pace"
	"github.com/knapweedpoint/knapweedpoint/internal/roster"
	"github.com/knapweedpoint/knapweedpoint/internal/traffic"
	"github.com/knapweedpoint/knapweedpoint/internal/workers"
)

const (
	// Every is the time between two rounds; a member counts as alive for six of them.
	Every = 400 * time.Millisecond
	// fanOut is how many peers one round reaches.
	fanOut = 3
	// sampleSize is how many members one datagram tells of, some 30 bytes each.
	sampleSize = 12
	// welcomeSize is how many members a daemon that knows few is told of at once, some 100 bytes each.
	welcomeSize = 250
	// wellKnown is the share of the members that this daemon knows below which another one knows few.
	wellKnown = 0.96
	// seedEvery is how many rounds pass between datagrams to a seed, which joins parts that lost each other.
	seedEvery = 5
	// MaxDatagram bounds a datagram in bytes; UDP carries up to 64 KB.
	MaxDatagram = 32 << 10
)

// Receiver is told what arrives in datagrams.
type Receiver interface {
	// Received takes one datagram of a peer.
	Received(from roster.Member, d *gossippb.Datagram)
}

// Gossiper sends and receives a daemon's datagrams.
type Gossiper struct {
	Roster *roster.Roster
	// Conn sends and receives datagrams.
	Conn net.PacketConn
	// Seeds returns the datagram addresses of daemons to start from.
	Seeds    func() []string
	Receiver Receiver
	// Has returns the version of the configuration that this daemon has, 0 while it has none, and the revision from
	// which on it can tell all changes of targets.
	Has func() (version, since uint64)
	// Meter counts the bytes that are sent; nil counts none.
	Meter *traffic.Meter
	Log   *zap.Logger
	// Panicked is told of a datagram that made its receiver panic, after which others are taken; nil lets it end the process.
	Panicked func(value any, stack []byte)

	// helped bounds the welcomes for one daemon: others help it too.
	helped pace.Limiter
}

// Run exchanges datagrams until ctx ends and the connection is closed.
func (g *Gossiper) Run(ctx context.Context) {
	ticker := time.NewTicker(Every)
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
	self := g.Roster.Beat()
	version, since := g.Has()
	d := &gossippb.Datagram{
		Self:    encodeMember(self),
		Version: version,
		Since:   since,
		Known:   uint32(len(g.Roster.Peers(now)) + 1),
		Members: lo.Map(g.Roster.Latest(sampleSize, now), func(m roster.Member, _ int) *gossippb.Member { return encodeMember(m.WithoutAddress()) }),
	}
	for _, p := range g.Roster.Near(fanOut, now) {
		g.send(p, d)
	}
	if seeds := g.Seeds(); len(seeds) > 0 && (round%seedEvery == 0 || len(g.Roster.Peers(now)) == 0) {
		g.send(roster.Member{Address: seeds[rand.IntN(len(seeds))]}, d)
	}
}

// Broadcast sends a datagram to every live peer.
func (g *Gossiper) Broadcast(d *gossippb.Datagram) {
	d.Self = encodeMember(g.Roster.Self().WithoutAddress())
	data, ok := g.encode(d)
	if !ok {
		return
	}
	for _, p := range g.Roster.Peers(time.Now()) {
		g.write(p, kind(d), data)
	}
}

// Leave tells every live peer at once that this daemon is leaving: gossip would take seconds in a large fleet.
func (g *Gossiper) Leave() {
	g.Roster.Leave()
	g.Roster.Beat()
	g.Broadcast(&gossippb.Datagram{})
}

// Send sends a datagram to one daemon, which may know nothing of this one.
func (g *Gossiper) Send(to roster.Member, d *gossippb.Datagram) {
	d.Self = encodeMember(g.Roster.Self())
	g.send(to, d)
}

func (g *Gossiper) send(member roster.Member, d *gossippb.Datagram) {
	if data, ok := g.encode(d); ok {
		g.write(member, kind(d), data)
	}
}

// encode returns a datagram's bytes; false when there are too many.
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

// kind returns what a datagram's bytes are counted as.
func kind(d *gossippb.Datagram) traffic.Kind {
	switch {
	case d.GetPartsReply() != nil:
		return traffic.Blocks
	case d.GetPartsCall() != nil || d.GetPartsGrant() != nil || d.GetPartsCancel() != nil:
		return traffic.Calls
	case d.GetPush() != nil:
		return traffic.Pushes
	case len(d.GetStalls()) > 0 || len(d.GetCrashes()) > 0:
		return traffic.Hints
	default:
		return traffic.Gossip
	}
}

// Receive takes in datagrams until the connection is closed. What has arrived is read whole before any of it is acted
// on, and cancellations go first: a daemon that ran late does not begin what was given up meanwhile.
func (g *Gossiper) Receive() {
	var box inbox
	var group errgroup.Group
	group.Go(func() error {
		for ds := range box.all() {
			for _, d := range ds {
				workers.Protect(func() { g.take(d) }, g.Panicked)
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
	for {
		n, _, err := g.Conn.ReadFrom(buffer)
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
		if !box.put(&d) {
			events.DatagramFailed.Log(g.Log, zap.Int("waiting", maxWaiting))
		}
	}
}

func (g *Gossiper) take(d *gossippb.Datagram) {
	from := decodeMember(d.GetSelf())
	g.help(from, int(d.GetKnown()))
	ms := lo.Map(d.GetMembers(), func(m *gossippb.Member, _ int) roster.Member { return decodeMember(m) })
	g.Roster.Merge(append(ms, from), time.Now())
	if g.Receiver != nil {
		g.Receiver.Received(from, d)
	}
}

// help tells a daemon that knows far fewer members than this one of all of them.
func (g *Gossiper) help(to roster.Member, known int) {
	now := time.Now()
	if known == 0 || float64(known) >= wellKnown*float64(len(g.Roster.Peers(now))) || to.Address == "" {
		return
	}
	if g.helped.Due(to.Name, now) {
		g.send(to, g.welcome())
	}
}

// welcome tells a daemon of members with their addresses.
func (g *Gossiper) welcome() *gossippb.Datagram {
	d := &gossippb.Datagram{Self: encodeMember(g.Roster.Self())}
	for _, m := range g.Roster.Sample(welcomeSize, time.Now()) {
		d.Members = append(d.Members, encodeMember(m))
	}
	return d
}

func encodeMember(m roster.Member) *gossippb.Member {
	return &gossippb.Member{
		Name: m.Name, Address: m.Address, Copies: m.Copies, AvailabilityZone: m.AvailabilityZone,
		Incarnation: m.Incarnation, Beat: m.Beat, Leaving: m.Leaving, Capacity: m.Capacity,
	}
}

func decodeMember(m *gossippb.Member) roster.Member {
	return roster.Member{
		Name: m.GetName(), Address: m.GetAddress(), Copies: m.GetCopies(), AvailabilityZone: m.GetAvailabilityZone(),
		Incarnation: m.GetIncarnation(), Beat: m.GetBeat(), Leaving: m.GetLeaving(), Capacity: m.GetCapacity(),
	}
}
