package assignment

import (
	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/home"
	"github.com/knapweedpoint/knapweedpoint/internal/rendezvous"
)

const (
	// Buckets is the number of groups into which shards fall; a search sends at most as many messages.
	Buckets = 8
	// Stands is how many daemons hold a bucket for one sender, one after the other.
	Stands = 3
)

// Member is one daemon and what it can do.
type Member struct {
	Name             string
	AvailabilityZone string
	// Capacity is the member's share of a core in thousandths, 0 when it did not say.
	Capacity uint32
}

// Table says which daemons hold which shards for searches that are gathered in a zone; its zero value has no holders.
type Table struct {
	// rings are the holders by the zone in which searches are gathered.
	rings map[string]*ring
	// members is the fleet's size, least the product of it and a search's shards from which on these have holders.
	members, least int
}

// New returns the table of a fleet. Searches are gathered in the home zones, which have targets of their shards; where
// none of these has a daemon they are gathered by the whole fleet, as in one zone without a name. least is the product of
// daemons and shards from which on a search uses holders. Daemons that know the same members have the same table.
func New(members []Member, homes []string, least int) *Table {
	t := &Table{members: len(members), least: least, rings: map[string]*ring{}}
	if len(members) < Stands {
		return t
	}
	for _, zone := range homes {
		local, others := lo.FilterReject(members, func(m Member, _ int) bool { return m.AvailabilityZone == zone })
		if len(local) > 0 {
			t.rings[zone] = newRing(local, others)
		}
	}
	if len(t.rings) == 0 {
		t.rings[""] = newRing(members, nil)
	}
	return t
}

// Zones returns the zones in which searches are gathered, with the capacities of their daemons.
func (t *Table) Zones() []home.Zone {
	if t == nil {
		return nil
	}
	return lo.MapToSlice(t.rings, func(name string, r *ring) home.Zone { return home.Zone{Name: name, Capacity: r.capacity} })
}

// Serves reports whether searches over so many shards use holders. The more shards a search has, the more work it is for
// the VM that takes it; the more daemons there are, the less each of them knows of a target.
func (t *Table) Serves(shards int) bool {
	return t != nil && len(t.rings) > 0 && t.members*shards >= t.least
}

// Holders returns the daemons that hold a shard that is gathered in a zone, in the order in which one sender in the zone
// from asks them.
func (t *Table) Holders(zone, shard, sender, from string) []string {
	r, ok := t.rings[zone]
	if !ok {
		r = t.rings[t.anyZone(shard)]
	}
	return r.holders(Bucket(shard), sender, zone == from)
}

// anyZone returns the zone for a shard whose targets stand in none.
func (t *Table) anyZone(shard string) string { return rendezvous.Name(shard, lo.Keys(t.rings)) }

// Gatherers returns the daemon of a zone that gathers the zone's part of the search with a key, none where the zone has no
// daemon.
func (t *Table) Gatherers(zone, key string) []string {
	r, ok := t.rings[zone]
	if !ok {
		return nil
	}
	return rendezvous.Names(key, r.local, 1)
}

// Size is the number of daemons for which Holds is true of one shard.
func (t *Table) Size() int {
	return lo.SumBy(lo.Values(t.rings), func(r *ring) int { return r.size() })
}

// Holds reports whether a daemon is one of the first to hold a shard for any sender, or stands in for one of them.
func (t *Table) Holds(shard, name string) bool {
	b := Bucket(shard)
	return lo.SomeBy(lo.Values(t.rings), func(r *ring) bool { return r.holds(b, name) })
}

// Bucket returns the group of a shard.
func Bucket(shard string) int { return int(xxhash.Sum64String(shard) % Buckets) }
