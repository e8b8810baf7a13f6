package inventory_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
)

func TestWithAppliesChangesInOrder(t *testing.T) {
	first := inventory.New(5, []inventory.Target{{ID: "b", Service: "s"}, {ID: "a", Service: "s"}, {ID: "c", Service: "t"}})
	next := first.With(9, []inventory.Change{
		inventory.Put{Target: inventory.Target{ID: "c", Service: "s", Revision: 6}},
		inventory.Delete{ID: "a", Revision: 7},
		inventory.Put{Target: inventory.Target{ID: "d", Service: "t", Revision: 8}},
		inventory.Delete{ID: "d", Revision: 9},
	})
	require.Equal(t, uint64(9), next.Revision)
	require.Len(t, next.ByService("s"), 2)
	require.Equal(t, "b", next.ByService("s")[0].ID)
	require.Equal(t, "c", next.ByService("s")[1].ID)
	require.Empty(t, next.ByService("t"))
	require.Len(t, first.ByService("s"), 2, "inventories are immutable")
	require.Equal(t, "a", first.ByService("s")[0].ID)
}

func TestRemovedTargetsAreRetainedUntilTheirTimeEnds(t *testing.T) {
	now := time.Now()
	inv := inventory.New(1, []inventory.Target{{ID: "a", Service: "s"}, {ID: "b", Service: "s"}})
	inv = inv.With(3, []inventory.Change{
		inventory.Delete{ID: "a", Revision: 2, RetainUntil: now.Add(time.Second)},
		inventory.Delete{ID: "b", Revision: 3, RetainUntil: now.Add(time.Second)},
		inventory.Delete{ID: "unknown", Revision: 3, RetainUntil: now.Add(time.Second)},
	})
	require.True(t, inv.Retained("a"))
	require.Len(t, inv.WithoutExpired(now).ByService("s"), 2)
	inv = inv.With(4, []inventory.Change{inventory.Put{Target: inventory.Target{ID: "b", Service: "s", Revision: 4}}})
	require.False(t, inv.Retained("b"))
	inv = inv.WithoutExpired(now.Add(time.Second))
	require.Len(t, inv.ByService("s"), 1)
	require.Equal(t, "b", inv.ByService("s")[0].ID)
}

func TestSameAsIgnoresRevisionsAndSmallDifferencesOfColdUntil(t *testing.T) {
	now := time.Now()
	a := inventory.Target{ID: "a", Service: "s", Revision: 1, ColdUntil: now}
	b := a.WithColdUntil(now.Add(300 * time.Millisecond))
	b.Revision = 2
	require.True(t, a.SameAs(b, 400*time.Millisecond))
	require.False(t, a.SameAs(b, 200*time.Millisecond))
	b.Draining = true
	require.False(t, a.SameAs(b, 400*time.Millisecond))
	require.Equal(t, now, a.WithColdUntil(now.Add(-time.Second)).ColdUntil)
}
