package answermargin_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/answermargin"
)

// Some shards are slow, so every search is answered at its cutoff. On VMs with a small share of a core the last
// milliseconds decide whether the answer arrives in time.
func TestCutAnswersArriveBeforeTheirObjective(t *testing.T) {
	const (
		objective = 200 * time.Millisecond
		// roundTrip is the time from a caller to its VM and back; the operator documentation states 3 ms for each
		// direction.
		roundTrip = 6 * time.Millisecond
		// work is the time on one full core to read the request and to write an answer of 86 signatures and 50
		// records.
		work = 900 * time.Microsecond
	)
	for _, processor := range []float64{0.134, 0.192, 0.272, 0.8, 1} {
		sentAfter := objective - answermargin.Estimate(10*time.Millisecond, processor)
		arrivesAfter := sentAfter + roundTrip + time.Duration(float64(work)/processor)
		require.Less(t, arrivesAfter, objective, "%g of a core", processor)
		require.Greater(t, sentAfter, objective*5/6, "%g of a core: answered too early to wait for slow parts", processor)
	}
	require.Equal(t, 10*time.Millisecond, answermargin.Estimate(10*time.Millisecond, 0))
}
