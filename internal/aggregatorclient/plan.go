package aggregatorclient

import (
	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/assignment"
	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/scatter"
	"github.com/knapweedpoint/knapweedpoint/internal/zoneplacement"
)

// plan says which daemon gathers each shard of one search.
type plan struct {
	table *assignment.Table
	// self is this daemon; zone is the zone that it runs in.
	self, zone string
	// key is the key of the search. zones holds the zone in which each of its shards is gathered.
	key   string
	zones []string
	// viaAggregators is set when shards have aggregators. Without them this daemon queries the targets of its own
	// zone itself.
	viaAggregators bool
}

// aggregators returns the daemons that may gather the shard at an index of the search, in the order in which they are
// queried.
func (p plan) aggregators(index int, shard string) []string {
	switch zone := p.zones[index]; {
	case p.viaAggregators:
		return p.table.Aggregators(zone, shard, p.self, p.zone)
	case zone == p.zone:
		return []string{p.self}
	default:
		// This daemon is the only fallback: if the gathering daemon fails because its zone is lost, no other daemon
		// of that zone can take over.
		return append(p.table.Gatherers(zone, p.key), p.self)
	}
}

// plan decides which daemons gather a search; it returns false when this daemon queries all targets itself. Shards
// are gathered in the zones of their targets, so that only merged results cross between zones.
func (c *Client) plan(s scatter.Search, jobs []forward.Job) (plan, bool) {
	table := c.Table.Get()
	if !sentByAggregators(table, s) {
		return plan{}, false
	}
	p := plan{table: table, self: c.Name, zone: c.AvailabilityZone, key: s.Request.ID, viaAggregators: table.UsesAggregators(len(jobs))}
	p.zones = c.gatherZones(table, p.key, jobs)
	if !p.viaAggregators && lo.EveryBy(p.zones, func(zone string) bool { return zone == p.zone || zone == "" }) {
		return plan{}, false
	}
	return p, true
}

// sentByAggregators reports whether aggregators may query the targets of a search.
func sentByAggregators(table *assignment.Table, s scatter.Search) bool {
	return table != nil && s.Route.Idempotent && len(s.Request.Body) <= maxBody
}

// gatherZones returns the zone in which the shard of each job is gathered. A shard whose targets are in no zone with
// daemons is gathered in the zone of this daemon.
func (c *Client) gatherZones(table *assignment.Table, key string, jobs []forward.Job) []string {
	zones := table.Zones()
	if len(zones) == 1 {
		return lo.Times(len(jobs), func(int) string { return zones[0].Name })
	}
	own := c.AvailabilityZone
	if !lo.ContainsBy(zones, func(z zoneplacement.Zone) bool { return z.Name == own }) {
		// No search is gathered in this zone, so no shard is assigned to it. The key of the search chooses among the
		// other zones.
		own = ""
	}
	out := zoneplacement.Place(own, key, zones, c.Direct.Forwarder.Zones(jobs))
	return lo.Map(out, func(zone string, _ int) string { return lo.CoalesceOrEmpty(zone, c.AvailabilityZone) })
}
