package shardplan_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/shardplan"
)

// Guards against searches that leave out more shards than they may, shards that are fast, unknown or only a little late
// before those that are very late, or always the same shards.
func TestOmit(t *testing.T) {
	const ms = time.Millisecond
	expected := []time.Duration{0, 20 * ms, 140 * ms, 200 * ms, 210 * ms, 220 * ms, 190 * ms, 2000 * ms}
	counts, full := map[int]int{}, 0
	const searches = 4000
	for range searches {
		omitted := shardplan.Planner{}.Omit(expected, 140*ms, 3)
		if len(omitted) == 0 {
			full++
			continue
		}
		require.Len(t, omitted, 3)
		require.Equal(t, 7, omitted[0])
		for _, i := range omitted {
			counts[i]++
		}
	}
	require.InDelta(t, searches/20, full, searches/50)
	for _, i := range []int{3, 4, 5, 6} {
		require.Greater(t, counts[i], searches/8)
	}
	require.Len(t, counts, 5)
	require.Empty(t, shardplan.Planner{}.Omit(expected, 140*ms, 0))
	require.Empty(t, shardplan.Planner{}.Omit(expected, time.Hour, 3))
}
