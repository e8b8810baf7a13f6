package promise

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/knapweedpoint/knapweedpoint/internal/fleetsim"
	"github.com/knapweedpoint/knapweedpoint/internal/layout"
)

// overlap returns a scenario that starts the second fault 1 s after the first, while the first still lasts.
func overlap(a, b fault) fault {
	return fault{name: a.name + " + " + b.name, apply: func(f *fleetsim.Fleet) {
		var group sync.WaitGroup
		group.Go(func() { a.apply(f) })
		time.Sleep(time.Second)
		group.Go(func() { b.apply(f) })
		group.Wait()
	}}
}

// pairable returns the faults that can overlap with another one, without those that would undo what the other did to the same
// zone or tree.
func pairable(fs []fault) []fault {
	return lo.Filter(fs, func(x fault, _ int) bool {
		return x.name != "platform down 10 min" && x.name != "invalid configuration between two valid ones"
	})
}

func TestPromisesUnderPairsOfFaults(t *testing.T) {
	candidates := pairable(faults())
	treeChanging := []string{
		"daemon paused 30 s and resumed with a stale view", "daemon paused while a zone is taken out, resumed while it is out",
		"peers partitioned, platform reachable from one side only, a zone taken out", "platform down on half the fleet, a zone taken out",
		"platform stale after a zone was taken out", "zone out and back", "two revisions in 100 ms, the zone out and in again",
	}
	treeFaults, otherFaults := lo.FilterReject(candidates, func(x fault, _ int) bool { return lo.Contains(treeChanging, x.name) })
	overlapping := lo.Filter(otherFaults, func(x fault, _ int) bool { return x.name != "all targets of a zone cold at once" })
	const pairs = 12
	for i := range pairs {
		a := rapid.SampledFrom(lo.Ternary(i%2 == 0, treeFaults, overlapping)).Example(i)
		b := rapid.SampledFrom(overlapping).Example(100 + i)
		pair := overlap(a, b)
		t.Run(pair.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f, traffic := underFault(t, smallFleet(uint64(i)+50), pair)
				require.Empty(t, fleetsim.Verify(f, traffic...))
			})
		})
	}
}

// TestPromisesUnderFaultsAtFifteenVMs runs the faults whose effect depends most on the number of daemons, at the fleet size
// that is in use today.
func TestPromisesUnderFaultsAtFifteenVMs(t *testing.T) {
	names := []string{"daemon killed and replaced", "peers partitioned", "daemon paused 30 s and resumed with a stale view", "zone out and back"}
	for i, x := range lo.Filter(faults(), func(x fault, _ int) bool { return lo.Contains(names, x.name) }) {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				o := smallFleet(uint64(i) + 80)
				o.Deployment = layout.Small().WithVMs(15)
				f, traffic := underFault(t, o, x)
				require.Empty(t, fleetsim.Verify(f, traffic...))
			})
		})
	}
}
