package delegate_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/assignment"
	"github.com/knapweedpoint/knapweedpoint/internal/scatter"
	"github.com/knapweedpoint/knapweedpoint/internal/testtarget"
)

const zoneCount = 5

func zoneOf(i int) string { return string(rune('a' + i%zoneCount)) }

// newZonedFleet returns a fleet in five zones, of which each shard has a target in three.
func newZonedFleet(held bool) *fleet {
	f := newFleet(steady)
	f.stand(zoneOf, lo.Ternary(held, fleetSize, fleetSize*shardCount+1))
	return f
}

// asked returns how many targets of each zone were called.
func (f *fleet) asked() map[string]int {
	return lo.CountValuesBy(f.sender.Calls(), func(c testtarget.Call) string {
		t, _ := f.inventory.Target(c.Target)
		return t.AvailabilityZone
	})
}

// The pattern: targets of each shard in three zones of five; a search takes as many as it can from its own zone and the
// rest from one other, and only daemons of a zone call that zone's targets.
func TestPartsStayInTheirZones(t *testing.T) {
	for _, held := range []bool{true, false} {
		t.Run(fmt.Sprint("held ", held), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newZonedFleet(held)
				out, _, took := f.search(context.Background(), name(0))
				require.Equal(t, "done", out.Word())
				require.Len(t, lo.Uniq(out.(scatter.Merged).Signatures), shardCount)
				require.LessOrEqual(t, took, work+2*hop)
				asked := f.asked()
				require.Len(t, asked, 2)
				require.Equal(t, shardCount*3/zoneCount, asked[zoneOf(0)])
				if !held {
					require.Len(t, f.calls, 1, "one daemon of the other zone")
				}
				f.close()
			})
		})
	}
}

// The pattern: a zone's VMs are gone and no daemon knows it yet; its targets live.
func TestSearchWhileTheOtherZonesVMsAreSilent(t *testing.T) {
	for _, held := range []bool{true, false} {
		t.Run(fmt.Sprint("held ", held), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newZonedFleet(held)
				f.search(context.Background(), name(0))
				silent := lo.Without(lo.Keys(f.asked()), zoneOf(0))[0]
				f.loses = func(from, to, _ string, _ int) bool {
					return lo.SomeBy(lo.Range(fleetSize), func(i int) bool { return zoneOf(i) == silent && (from == name(i) || to == name(i)) })
				}
				out, _, took := f.search(context.Background(), name(0))
				require.Equal(t, "done", out.Word())
				require.LessOrEqual(t, took, objective-margin)
				f.close()
				for _, s := range shardNames() {
					require.LessOrEqual(t, f.runs(s), 2, s)
				}
			})
		})
	}
}

// The pattern: no zone has both targets and daemons; a small fleet asks all targets itself.
func TestSmallFleetWithoutHomesAsksItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newZonedFleet(false)
		members := lo.Times(fleetSize, func(i int) assignment.Member { return assignment.Member{Name: name(i), AvailabilityZone: zoneOf(i)} })
		f.table.Set(assignment.New(members, nil, fleetSize*shardCount+1))
		out, _, _ := f.search(context.Background(), name(0))
		require.Equal(t, "done", out.Word())
		require.Empty(t, f.calls)
		f.close()
	})
}
