package entry

import (
	"slices"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/assignment"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/retrybudget"
	"github.com/knapweedpoint/knapweedpoint/internal/roster"
	"github.com/knapweedpoint/knapweedpoint/internal/targetpool"
)

// homeZoneShare is the minimum number of targets of a home zone, as a share of those of the zone with the most targets.
const homeZoneShare = 0.25

// aggregators sends calls to aggregators. It implements aggregatorclient.Peers.
type aggregators struct{ daemon *Daemon }

// Call sends a call to the named aggregator.
func (a aggregators) Call(name string, c *gossippb.PartsCall) {
	a.send(name, &gossippb.Datagram{PartsCall: c})
}

// Process returns the incarnation of the named daemon.
func (a aggregators) Process(name string) uint64 {
	r := a.daemon.sync.roster
	if self := r.Self(); self.Name == name {
		return self.Incarnation
	}
	m, _ := r.Find(name)
	return m.Incarnation
}

// Grant sends the hedge grant of a call to the named aggregator.
func (a aggregators) Grant(name string, g *gossippb.PartsGrant) {
	a.send(name, &gossippb.Datagram{PartsGrant: g})
}

// Cancel cancels a call at the named aggregator.
func (a aggregators) Cancel(name string, id uint64) {
	a.send(name, &gossippb.Datagram{PartsCancel: &gossippb.PartsCancel{Id: id}})
}

// CallLocal runs a call at this daemon's own aggregator.
func (a aggregators) CallLocal(c *gossippb.PartsCall, reply func(*gossippb.PartsReply)) {
	a.daemon.aggregator.HandleCall(a.daemon.Settings().Name, c, reply)
}

// GrantLocal gives a call at this daemon's own aggregator its hedge grant.
func (a aggregators) GrantLocal(g *gossippb.PartsGrant) {
	a.daemon.aggregator.Grant(a.daemon.Settings().Name, g)
}

// CancelLocal cancels a call at this daemon's own aggregator.
func (a aggregators) CancelLocal(id uint64) {
	a.daemon.aggregator.Cancel(a.daemon.Settings().Name, id)
}

// SendLoopback sends a reply to this daemon itself, as a loopback probe.
func (a aggregators) SendLoopback(r *gossippb.PartsReply) {
	a.daemon.sync.gossiper.Send(a.daemon.sync.roster.Self(), &gossippb.Datagram{PartsReply: r})
}

// send sends a datagram to the named daemon, or drops it if that daemon is no longer in the roster. To the aggregator
// client, that daemon is then unresponsive.
func (a aggregators) send(name string, m *gossippb.Datagram) {
	components := a.daemon.sync
	if to, ok := components.roster.Find(name); ok {
		components.gossiper.Send(to, m)
	}
}

// handleParts handles the calls, replies, hedge grants and cancellations of searches in a peer's datagram.
func (d *Daemon) handleParts(from roster.Member, m *gossippb.Datagram) {
	if c := m.GetPartsCall(); c != nil {
		d.aggregator.HandleCall(from.Name, c, func(r *gossippb.PartsReply) {
			d.sync.gossiper.Send(from, &gossippb.Datagram{PartsReply: r})
		})
	}
	if r := m.GetPartsReply(); r != nil {
		d.aggregatorClient.HandleReply(from.Name, from.Incarnation, r)
	}
	if g := m.GetPartsGrant(); g != nil {
		d.aggregator.Grant(from.Name, g)
	}
	if c := m.GetPartsCancel(); c != nil {
		d.aggregator.Cancel(from.Name, c.GetId())
	}
}

// assign assigns the shards to aggregators among the live daemons, for searches that are gathered in the home zones.
func (d *Daemon) assign(alive []roster.Member, homeZones []string) {
	d.assignments.Set(assignment.New(lo.Map(alive, func(m roster.Member, _ int) assignment.Member {
		return assignment.Member{Name: m.Name, AvailabilityZone: m.AvailabilityZone, Capacity: m.Capacity}
	}), homeZones, d.Settings().HoldersFrom))
}

// homeZones returns the zones that have targets of searches, sorted, without those whose share is below homeZoneShare.
func (d *Daemon) homeZones() []string {
	s := d.State()
	count := map[string]int{}
	for _, t := range s.Inventory.All() {
		if s.OperatorState.Table.MaxShards(t.Service) > 0 {
			count[t.AvailabilityZone]++
		}
	}
	most := lo.Max(lo.Values(count))
	homeZones := lo.Keys(lo.PickBy(count, func(_ string, n int) bool { return float64(n) >= homeZoneShare*float64(most) }))
	slices.Sort(homeZones)
	return homeZones
}

// connectionShare returns how many connections this daemon may keep to a target of a service. In a fleet of the given
// size, all daemons together then stay below the maximum that the target accepts.
func (d *Daemon) connectionShare(members int) func(service string) int {
	routes, table := d.State().OperatorState.Table, d.assignments.Get()
	return func(service string) int {
		maxConnections := routes.Service(service).MaxConnections
		switch {
		case maxConnections <= 0:
			return targetpool.DefaultMaxIdle
		case d.usesAggregators(service):
			return maxConnections / table.AggregatorsPerShard()
		default:
			return maxConnections / max(members, 1)
		}
	}
}

// usesAggregators reports whether searches query the service through aggregators.
func (d *Daemon) usesAggregators(service string) bool {
	shards := d.State().OperatorState.Table.MaxShards(service)
	return shards > 0 && d.assignments.Get().UsesAggregators(shards)
}

// retryShare returns this daemon's share of the retry budgets in a fleet of the given size.
func (d *Daemon) retryShare(members int) func(service string) retrybudget.Share {
	equal := retrybudget.EqualShares(max(members, minMembers))
	routes, table, name := d.State().OperatorState.Table, d.assignments.Get(), d.Settings().Name
	return func(service string) retrybudget.Share {
		shards := routes.MaxShards(service)
		if shards == 0 || !table.UsesAggregators(shards) {
			return equal(service)
		}
		return retrybudget.AggregatorShare(table.IsAggregator(service, name), table.AggregatorsPerShard(), members)
	}
}
