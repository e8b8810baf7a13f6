package entry

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/joomcode/errorx"
	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/gossip"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/peercopy"
	"github.com/knapweedpoint/knapweedpoint/internal/rendezvous"
	"github.com/knapweedpoint/knapweedpoint/internal/roster"
	"github.com/knapweedpoint/knapweedpoint/internal/traffic"
)

// storeReaderKey is the rendezvous key by which daemons of equal capacity are ranked as store readers.
const storeReaderKey = "storeReader"

// peers communicates with the other daemons for the syncer. It implements storesync.Peers.
type peers struct {
	roster   *roster.Roster
	gossiper *gossip.Gossiper
	http     *http.Client
	meter    *traffic.Meter
	seeds    func() []string
}

// Push sends changes to all live peers.
func (p peers) Push(push *gossippb.Push) {
	p.gossiper.Broadcast(&gossippb.Datagram{Push: push})
}

// Fetch returns what this daemon lacks of a peer's state. The sender of a push is given without its addresses, so these
// come from the roster.
func (p peers) Fetch(ctx context.Context, from roster.Member, have *gossippb.FetchRequest) (*gossippb.PackedCopy, error) {
	m := from
	if from.CopyAddress == "" {
		known, ok := p.roster.Find(from.Name)
		if !ok {
			return nil, errorx.IllegalState.New("copy address of %s is unknown", from.Name)
		}
		m = known
	}
	c, err := peercopy.Fetch(ctx, p.http, m.CopyAddress, have)
	p.meter.Add(traffic.Copies, m.AvailabilityZone, len(c.GetCopy()))
	return c, err
}

// Seeds returns the seeds from the settings, with nothing but their copy addresses.
func (p peers) Seeds() []roster.Member {
	return lo.Map(p.seeds(), func(address string, _ int) roster.Member { return roster.Member{Name: address, CopyAddress: address} })
}

// Members returns the number of live daemons.
func (p peers) Members() int { return len(p.roster.AliveNames(time.Now())) }

// Rank returns the rank of this daemon among the live daemons; a daemon that is leaving ranks last. Daemons with the
// most capacity come first, since the store reader pushes changes to all others over its own link.
func (p peers) Rank() int {
	alive := p.roster.Alive(time.Now())
	self := p.roster.Self()
	larger := lo.CountBy(alive, func(m roster.Member) bool { return m.Capacity > self.Capacity })
	equal := lo.FilterMap(alive, func(m roster.Member, _ int) (string, bool) { return m.Name, m.Capacity == self.Capacity })
	i := slices.Index(rendezvous.PickN(storeReaderKey, equal, len(equal)), self.Name)
	if i < 0 {
		return len(alive)
	}
	return larger + i
}
