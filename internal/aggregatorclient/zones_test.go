package aggregatorclient_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/assignment"
	"github.com/knapweedpoint/knapweedpoint/internal/scatter"
	"github.com/knapweedpoint/knapweedpoint/internal/scriptedtarget"
)

const zoneCount = 5

func zoneOf(i int) string { return string(rune('a' + i%zoneCount)) }

// newZonedFleet returns a fleet in five zones. Each shard has one target in each of three zones.
func newZonedFleet(viaAggregators bool) *fleet {
	f := newFleet(steady)
	f.deploy(zoneOf, lo.Ternary(viaAggregators, fleetSize, fleetSize*shardCount+1))
	return f
}

// callsByZone returns the number of target calls in each zone.
func (f *fleet) callsByZone() map[string]int {
	return lo.CountValuesBy(f.sender.Calls(), func(c scriptedtarget.Call) string {
		t, _ := f.inventory.Target(c.Target)
		return t.AvailabilityZone
	})
}

// Each shard has targets in three of five zones. A search must gather as many shards as possible in its own zone and
// the rest in one other zone, and only daemons of a zone may call the targets of that zone.
func TestPartsAreGatheredInTheirZones(t *testing.T) {
	for _, viaAggregators := range []bool{true, false} {
		t.Run(fmt.Sprint("via aggregators ", viaAggregators), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newZonedFleet(viaAggregators)
				out, _, elapsed := f.search(context.Background(), name(0))
				require.Equal(t, "done", out.Label())
				require.Len(t, lo.Uniq(out.(scatter.Merged).Signatures), shardCount)
				require.LessOrEqual(t, elapsed, work+2*hop)
				callsByZone := f.callsByZone()
				require.Len(t, callsByZone, 2)
				require.Equal(t, shardCount*3/zoneCount, callsByZone[zoneOf(0)])
				if !viaAggregators {
					require.Len(t, f.calls, 1, "one daemon of the other zone")
				}
				f.close()
			})
		})
	}
}

// The daemons of a zone are lost and no other daemon knows it yet, while the targets of the zone still answer.
func TestSearchWhileTheOtherZonesVMsAreSilent(t *testing.T) {
	for _, viaAggregators := range []bool{true, false} {
		t.Run(fmt.Sprint("via aggregators ", viaAggregators), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newZonedFleet(viaAggregators)
				f.search(context.Background(), name(0))
				lost := lo.Without(lo.Keys(f.callsByZone()), zoneOf(0))[0]
				f.drops = func(from, to, _ string, _ int) bool {
					return lo.SomeBy(lo.Range(fleetSize), func(i int) bool { return zoneOf(i) == lost && (from == name(i) || to == name(i)) })
				}
				out, _, elapsed := f.search(context.Background(), name(0))
				require.Equal(t, "done", out.Label())
				require.LessOrEqual(t, elapsed, objective-margin)
				f.close()
				for _, s := range shardNames() {
					require.LessOrEqual(t, f.targetsQueried(s), 2, s)
				}
			})
		})
	}
}

// No zone has both targets and daemons; in a small fleet the requesting daemon must query all targets itself.
func TestSmallFleetWithoutHomeZonesQueriesTargetsItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newZonedFleet(false)
		members := lo.Times(fleetSize, func(i int) assignment.Member { return assignment.Member{Name: name(i), AvailabilityZone: zoneOf(i)} })
		f.table.Set(assignment.New(members, nil, fleetSize*shardCount+1))
		out, _, _ := f.search(context.Background(), name(0))
		require.Equal(t, "done", out.Label())
		require.Empty(t, f.calls)
		f.close()
	})
}
