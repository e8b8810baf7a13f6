package partswire_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/partswire"
)

// Guards against aggregators that take a search for more or less urgent than it is.
func TestPriorityReachesAggregators(t *testing.T) {
	for _, p := range []int{0, 1, 7, math.MaxUint32 - 1} {
		require.Equal(t, p, partswire.DecodeRoute(&gossippb.PartsCall{Priority: partswire.EncodePriority(p)}).Priority)
	}
	require.Zero(t, partswire.DecodeRoute(&gossippb.PartsCall{Priority: partswire.EncodePriority(-3)}).Priority)
	require.Equal(t, math.MaxUint32-1, partswire.DecodeRoute(&gossippb.PartsCall{Priority: partswire.EncodePriority(math.MaxInt64)}).Priority)
	require.Zero(t, partswire.DecodeRoute(&gossippb.PartsCall{}).Priority, "a daemon of an earlier version does not say")
}
