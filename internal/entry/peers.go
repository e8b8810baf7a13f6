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

// readerKey is what daemons are ranked for when they read the store for all.
const readerKey = "storeReader"

// peers reaches the other daemons for the syncer.
type peers struct {
	roster   *roster.Roster
	gossiper *gossip.Gossiper
	http     *http.Client
	meter    *traffic.Meter
	seeds    func() []string
}

// Push tells all live peers what changed.
func (p peers) Push(push *gossippb.Push) {
	p.gossiper.Broadcast(&gossippb.Datagram{Push: push})
}

// Fetch returns a peer's copy; a push names its sender without addresses.
func (p peers) Fetch(ctx context.Context, from roster.Member, have *gossippb.FetchRequest) (*gossippb.PackedCopy, error) {
	m := from
	if from.Copies == "" {
		known, ok := p.roster.Find(from.Name)
		if !ok {
			return nil, errorx.IllegalState.New("no address of %s is known", from.Name)
		}
		m = known
	}
	c, err := peercopy.Fetch(ctx, p.http, m.Copies, have)
	p.meter.Add(traffic.Copies, m.AvailabilityZone, len(c.GetCopy()))
	return c, err
}

// Seeds returns the daemons that the settings name, without what gossip tells of them.
func (p peers) Seeds() []roster.Member {
	return lo.Map(p.seeds(), func(address string, _ int) roster.Member { return roster.Member{Name: address, Copies: address} })
}

// Members returns the number of live daemons.
func (p peers) Members() int { return len(p.roster.Names(time.Now())) }

// Rank returns the daemon's place among the live daemons; one that is leaving is the last. The strongest come first:
// what the reader tells goes to all others, over its own link.
func (p peers) Rank() int {
	alive := p.roster.Alive(time.Now())
	self := p.roster.Self()
	stronger := lo.CountBy(alive, func(m roster.Member) bool { return m.Capacity > self.Capacity })
	alike := lo.FilterMap(alive, func(m roster.Member, _ int) (string, bool) { return m.Name, m.Capacity == self.Capacity })
	i := slices.Index(rendezvous.Names(readerKey, alike, len(alike)), self.Name)
	if i < 0 {
		return len(alive)
	}
	return stronger + i
}
