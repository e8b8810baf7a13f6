package delegate

import (
	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/assignment"
	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/home"
	"github.com/knapweedpoint/knapweedpoint/internal/scatter"
)

// plan says who gathers the shards of one search.
type plan struct {
	table *assignment.Table
	// sender is this daemon and zone where it stands.
	sender, zone string
	// key is the search's; zones are where its shards are gathered.
	key   string
	zones []string
	// held is set when shards have holders; else this daemon asks those of its own zone itself.
	held bool
}

// holders returns the daemons that gather the shard at a place of the search, in the order in which they are to be asked.
func (p plan) holders(place int, shard string) []string {
	switch zone := p.zones[place]; {
	case p.held:
		return p.table.Holders(zone, shard, p.sender, p.zone)
	case zone == p.zone:
		return []string{p.sender}
	default:
		// Where the zone is lost, no other daemon of it could stand in.
		return append(p.table.Gatherers(zone, p.key), p.sender)
	}
}

// plan decides who gathers a search; false when this daemon asks all targets itself. Parts stay in the zones of their
// targets: only what is merged there crosses to another.
func (d *Delegate) plan(s scatter.Search, jobs []forward.Job) (plan, bool) {
	table := d.Table.Get()
	if table == nil || !s.Route.Repeatable || len(s.Request.Body) > maxBody {
		return plan{}, false
	}
	p := plan{table: table, sender: d.Name, zone: d.AvailabilityZone, key: s.Request.ID, held: table.Serves(len(jobs))}
	p.zones = d.split(table, p.key, jobs)
	if !p.held && lo.EveryBy(p.zones, func(zone string) bool { return zone == p.zone || zone == "" }) {
		return plan{}, false
	}
	return p, true
}

// split returns the zone in which each job's shard is gathered, "" where no zone has both targets and daemons.
func (d *Delegate) split(table *assignment.Table, key string, jobs []forward.Job) []string {
	zones := table.Zones()
	if len(zones) == 1 {
		return lo.Times(len(jobs), func(int) string { return zones[0].Name })
	}
	own := d.AvailabilityZone
	if !lo.ContainsBy(zones, func(z home.Zone) bool { return z.Name == own }) {
		// No search is gathered here; the key chooses a zone for what no other one holds.
		own = ""
	}
	out := home.Split(own, key, zones, d.Direct.Forwarder.Zones(jobs))
	return lo.Map(out, func(zone string, _ int) string { return lo.CoalesceOrEmpty(zone, d.AvailabilityZone) })
}
