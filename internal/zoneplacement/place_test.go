package zoneplacement_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/zoneplacement"
)

// rotated returns the zones of the targets of n shards with the given number of copies each. The copies of shard 0
// are in the first zones, those of shard 1 start at the second zone, and so on.
func rotated(n, copies int, zones ...string) [][]string {
	return lo.Times(n, func(i int) []string {
		return lo.Times(copies, func(c int) string { return zones[(i+c)%len(zones)] })
	})
}

// without removes the targets in a zone from the first n shards.
func without(targets [][]string, zone string, n int) [][]string {
	return lo.Map(targets, func(zs []string, i int) []string {
		if i >= n {
			return zs
		}
		return lo.Without(zs, zone)
	})
}

func fleet(capacities map[string]uint64) []zoneplacement.Zone {
	return lo.Map(slices.Sorted(slices.Values(lo.Keys(capacities))), func(name string, _ int) zoneplacement.Zone {
		return zoneplacement.Zone{Name: name, Capacity: capacities[name]}
	})
}

func TestPlaceByZonesOfTargets(t *testing.T) {
	three := fleet(map[string]uint64{"a": 4, "b": 7, "c": 2})
	five := fleet(map[string]uint64{"a": 9, "b": 9, "c": 9, "d": 9, "e": 9})
	for _, c := range []struct {
		name    string
		own     string
		zones   []zoneplacement.Zone
		targets [][]string
		// want is the mean number of shards that each zone gathers.
		want map[string]float64
	}{
		{"a replica of each shard in every zone", "b", three, rotated(90, 3, "a", "b", "c"), map[string]float64{"b": 90}},
		{"replicas in two zones of three", "c", three, rotated(21, 2, "a", "b", "c"), map[string]float64{"c": 14, "a": 7 * 4.0 / 11, "b": 7 * 7.0 / 11}},
		{"replicas in three zones of five", "a", five, rotated(180, 3, "a", "b", "c", "d", "e"), map[string]float64{"a": 108, "c": 36, "d": 36}},
		{"no replica in this zone", "c", three, rotated(20, 2, "a", "b"), map[string]float64{"a": 20 * 4.0 / 11, "b": 20 * 7.0 / 11}},
		{"two VMs in this zone", "c", three, rotated(20, 3, "a", "b", "c"), map[string]float64{"c": 20}},
		{"this zone is taken out", "a", three, without(rotated(20, 3, "a", "b", "c"), "a", 20), map[string]float64{"b": 20 * 7.0 / 9, "c": 20 * 2.0 / 9}},
		{"two of this zone's replicas are down", "a", three, without(rotated(20, 3, "a", "b", "c"), "a", 2), map[string]float64{"a": 20}},
		{"many of this zone's replicas are down", "a", three, without(rotated(20, 3, "a", "b", "c"), "a", 9), map[string]float64{"a": 11, "b": 7, "c": 2}},
		{"another zone's VMs are gone while its replicas live", "c", fleet(map[string]uint64{"b": 7, "c": 2}), rotated(21, 2, "a", "b", "c"), map[string]float64{"c": 14, "b": 7}},
		{"another zone is lost", "c", fleet(map[string]uint64{"b": 7, "c": 2}), without(rotated(21, 2, "a", "b", "c"), "a", 21), map[string]float64{"c": 14, "b": 7}},
		{"all replicas are down", "a", three, make([][]string, 20), map[string]float64{"a": 20}},
		{"no zone's daemons are known", "a", nil, rotated(20, 2, "b", "c"), map[string]float64{"a": 20}},
	} {
		t.Run(c.name, func(t *testing.T) {
			const searches = 2000
			got := map[string]float64{}
			for i := range searches {
				for _, zone := range zoneplacement.Place(c.own, fmt.Sprint("request-", i), c.zones, c.targets) {
					got[zone] += 1.0 / searches
				}
			}
			require.Len(t, got, len(c.want))
			for zone, want := range c.want {
				require.InDelta(t, want, got[zone], 0.05*float64(len(c.targets)))
			}
		})
	}
}

// When a zone is lost, only the shards that it gathered may move to other zones.
func TestALostZoneMovesOnlyItsShards(t *testing.T) {
	zones := fleet(map[string]uint64{"a": 9, "b": 9, "c": 9, "d": 9})
	targets := rotated(20, 3, "b", "c", "d")
	for i := range 1000 {
		key := fmt.Sprint("request-", i)
		before := zoneplacement.Place("a", key, zones, targets)
		after := zoneplacement.Place("a", key, lo.Reject(zones, func(z zoneplacement.Zone, _ int) bool { return z.Name == "b" }), targets)
		for shard := range targets {
			if before[shard] != "b" {
				require.Equal(t, before[shard], after[shard])
			}
		}
	}
}
