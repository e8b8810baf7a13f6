package headroom_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/headroom"
)

// The pattern: some shards are slow, so that every search leaves at its cut; on weak VMs the last milliseconds decide
// whether it arrives in time.
func TestCutAnswersArriveBeforeTheirObjective(t *testing.T) {
	const (
		objective = 200 * time.Millisecond
		// way is there and back between a caller and its VM; the operators' pages state 3 ms each way.
		way = 6 * time.Millisecond
		// work is a whole core's, to read the request and to write an answer of 86 signatures and 50 records.
		work = 900 * time.Microsecond
	)
	for _, processor := range []float64{0.134, 0.192, 0.272, 0.8, 1} {
		leaves := objective - headroom.Of(10*time.Millisecond, processor)
		arrives := leaves + way + time.Duration(float64(work)/processor)
		require.Less(t, arrives, objective, "%g of a core", processor)
		require.Greater(t, leaves, objective*5/6, "%g of a core: parts that are not waited for", processor)
	}
	require.Equal(t, 10*time.Millisecond, headroom.Of(10*time.Millisecond, 0))
}
