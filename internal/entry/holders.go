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

// homeShare is the part of the targets of the best zone that another must have for searches to be gathered there.
const homeShare = 0.25

// holders reaches the daemons that hold shards; it is the delegate's Peers.
type holders struct{ daemon *Daemon }

// Call sends a call to the named daemon.
func (h holders) Call(name string, c *gossippb.PartsCall) {
	h.send(name, &gossippb.Datagram{PartsCall: c})
}

// Grant allows a call at the named daemon its second sends.
func (h holders) Grant(name string, id uint64) {
	h.send(name, &gossippb.Datagram{PartsGrant: &gossippb.PartsGrant{Id: id}})
}

// Cancel ends a call at the named daemon.
func (h holders) Cancel(name string, id uint64) {
	h.send(name, &gossippb.Datagram{PartsCancel: &gossippb.PartsCancel{Id: id}})
}

// Local runs a call on this daemon.
func (h holders) Local(c *gossippb.PartsCall, reply func(*gossippb.PartsReply)) {
	h.daemon.holder.Take(h.daemon.Settings().Name, c, reply)
}

// GrantLocal allows a call on this daemon its second sends.
func (h holders) GrantLocal(id uint64) {
	h.daemon.holder.Grant(h.daemon.Settings().Name, id)
}

// CancelLocal ends a call on this daemon.
func (h holders) CancelLocal(id uint64) {
	h.daemon.holder.Cancel(h.daemon.Settings().Name, id)
}

// Echo sends this daemon a reply of its own.
func (h holders) Echo(r *gossippb.PartsReply) {
	h.daemon.syncer.gossiper.Send(h.daemon.syncer.roster.Self(), &gossippb.Datagram{PartsReply: r})
}

// send drops what is for a daemon that is not known any more; its silence is noticed.
func (h holders) send(name string, m *gossippb.Datagram) {
	parts := h.daemon.syncer
	if to, ok := parts.roster.Find(name); ok {
		parts.gossiper.Send(to, m)
	}
}

// takeParts takes what a peer's datagram says of shards that are held for others.
func (d *Daemon) takeParts(from roster.Member, m *gossippb.Datagram) {
	if c := m.GetPartsCall(); c != nil {
		d.holder.Take(from.Name, c, func(r *gossippb.PartsReply) {
			d.syncer.gossiper.Send(from, &gossippb.Datagram{PartsReply: r})
		})
	}
	if r := m.GetPartsReply(); r != nil {
		d.delegate.Replied(from.Name, r)
	}
	if c := m.GetPartsGrant(); c != nil {
		d.holder.Grant(from.Name, c.GetId())
	}
	if c := m.GetPartsCancel(); c != nil {
		d.holder.Cancel(from.Name, c.GetId())
	}
}

// assign shares the shards out among the live daemons, for searches that are gathered in the home zones.
func (d *Daemon) assign(alive []roster.Member, homes []string) {
	d.table.Set(assignment.New(lo.Map(alive, func(m roster.Member, _ int) assignment.Member {
		return assignment.Member{Name: m.Name, AvailabilityZone: m.AvailabilityZone, Capacity: m.Capacity}
	}), homes, d.Settings().HoldersFrom))
}

// homes returns the zones that have targets of searches, in order; those with few beside the others are left out.
func (d *Daemon) homes() []string {
	s := d.State()
	count := map[string]int{}
	for _, t := range s.Inventory.All() {
		if s.Orders.Table.Widest(t.Service) > 0 {
			count[t.AvailabilityZone]++
		}
	}
	most := lo.Max(lo.Values(count))
	homes := lo.Keys(lo.PickBy(count, func(_ string, n int) bool { return float64(n) >= homeShare*float64(most) }))
	slices.Sort(homes)
	return homes
}

// connectionShare returns how many connections this daemon may keep to a target of a service, so that all daemons of a
// fleet of the given size together stay below what the target accepts.
func (d *Daemon) connectionShare(members int) func(service string) int {
	routes, table := d.State().Orders.Table, d.table.Get()
	return func(service string) int {
		accepts := routes.Service(service).MaxConnections
		switch {
		case accepts <= 0:
			return targetpool.DefaultKept
		case d.held(service):
			return accepts / table.Size()
		default:
			return accepts / max(members, 1)
		}
	}
}

// held reports whether searches ask the service by its holders.
func (d *Daemon) held(service string) bool {
	shards := d.State().Orders.Table.Widest(service)
	return shards > 0 && d.table.Get().Serves(shards)
}

// retryShare returns this daemon's part of the retry budgets in a fleet of the given size.
func (d *Daemon) retryShare(members int) func(service string) retrybudget.Share {
	equal := retrybudget.Equal(max(members, leastMembers))
	table, name := d.table.Get(), d.Settings().Name
	return func(service string) retrybudget.Share {
		if !d.held(service) {
			return equal(service)
		}
		return retrybudget.Held(table.Holds(service, name), table.Size(), members)
	}
}
