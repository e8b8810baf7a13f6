package split_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
	"github.com/knapweedpoint/knapweedpoint/internal/split"
)

func TestPickKeepsToTheWeightsInEveryRun(t *testing.T) {
	var p split.Picker
	s := routetable.Split{WeightedServices: []routetable.Weighted{{Service: "a", Weight: 0.7}, {Service: "b", Weight: 0.2}, {Service: "c", Weight: 0.1}, {Service: "none"}}}
	counts := map[string]int{}
	for range 100 {
		counts[p.Pick("r", s)]++
	}
	require.InDelta(t, 70, counts["a"], 1)
	require.InDelta(t, 20, counts["b"], 1)
	require.InDelta(t, 10, counts["c"], 1)
	require.Zero(t, counts["none"])
}

func TestPickFollowsNewWeightsAtOnce(t *testing.T) {
	var p split.Picker
	old := routetable.Split{WeightedServices: []routetable.Weighted{{Service: "a", Weight: 1}, {Service: "b", Weight: 99}}}
	for range 50 {
		p.Pick("r", old)
	}
	next := routetable.Split{WeightedServices: []routetable.Weighted{{Service: "a", Weight: 1}}}
	require.Equal(t, "a", p.Pick("r", next))
	require.Empty(t, p.Pick("r", routetable.Split{}))
}
