package assignment

import (
	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/rendezvous"
	"github.com/knapweedpoint/knapweedpoint/internal/zoneplacement"
)

const (
	// Buckets is the number of groups into which shards are hashed. A search first sends at most one call for each
	// bucket and zone.
	Buckets = 8
	// AggregatorsPerBucket is the number of aggregators that one requesting daemon has for a bucket, in order of
	// preference.
	AggregatorsPerBucket = 3
)

// Member is one daemon with its capacity.
type Member struct {
	Name             string
	AvailabilityZone string
	// Capacity is the share of a core that the member has, in thousandths; 0 when it is not known.
	Capacity uint32
}

// Table assigns shards to aggregators for each zone in which searches are gathered. The zero value has no
// aggregators.
type Table struct {
	// rings holds the aggregators by the zone in which searches are gathered.
	rings map[string]*ring
	// members is the number of daemons. minProduct is the product of daemons and shards from which on searches use
	// aggregators.
	members, minProduct int
}

// New returns the table of a fleet. Searches are gathered in the home zones, which have targets of their shards. When
// no daemon is in a home zone, the whole fleet gathers them as if it were one zone without a name. minProduct is the
// product of daemons and shards from which on a search uses aggregators. The table depends only on the arguments, so
// daemons with the same members have the same table.
func New(members []Member, homes []string, minProduct int) *Table {
	t := &Table{members: len(members), minProduct: minProduct, rings: map[string]*ring{}}
	if len(members) < AggregatorsPerBucket {
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

// Zones returns the zones in which searches are gathered, with the total capacities of their daemons.
func (t *Table) Zones() []zoneplacement.Zone {
	if t == nil {
		return nil
	}
	return lo.MapToSlice(t.rings, func(name string, r *ring) zoneplacement.Zone {
		return zoneplacement.Zone{Name: name, Capacity: r.capacity}
	})
}

// UsesAggregators reports whether searches over the given number of shards use aggregators. The more shards a search
// has, the more work it is for the VM that receives it; the more daemons there are, the less each of them knows about
// a target.
func (t *Table) UsesAggregators(shards int) bool {
	return t != nil && len(t.rings) > 0 && t.members*shards >= t.minProduct
}

// Aggregators returns the aggregators of a shard that is gathered in a zone, in the order in which the given
// requesting daemon queries them.
func (t *Table) Aggregators(zone, shard, requester, requesterZone string) []string {
	r, ok := t.rings[zone]
	if !ok {
		r = t.rings[t.anyZone(shard)]
	}
	return r.aggregators(Bucket(shard), requester, zone == requesterZone)
}

// anyZone returns the zone for a shard whose targets are in none of the zones.
func (t *Table) anyZone(shard string) string { return rendezvous.Pick(shard, lo.Keys(t.rings)) }

// Gatherers returns the daemon of a zone that gathers that zone's shards of the search with the given key, or none
// when the zone has no daemon.
func (t *Table) Gatherers(zone, key string) []string {
	r, ok := t.rings[zone]
	if !ok {
		return nil
	}
	return rendezvous.PickN(key, r.local, 1)
}

// AggregatorsPerShard returns the number of daemons that are an aggregator of one shard for any requesting daemon.
func (t *Table) AggregatorsPerShard() int {
	return lo.SumBy(lo.Values(t.rings), func(r *ring) int { return r.aggregatorCount() })
}

// IsAggregator reports whether a daemon is an aggregator of a shard for any requesting daemon, as its first choice or
// as a fallback.
func (t *Table) IsAggregator(shard, name string) bool {
	b := Bucket(shard)
	return lo.SomeBy(lo.Values(t.rings), func(r *ring) bool { return r.isAggregator(b, name) })
}

// Bucket returns the bucket of a shard.
func Bucket(shard string) int { return int(xxhash.Sum64String(shard) % Buckets) }
