package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/dispatch"
	"github.com/knapweedpoint/knapweedpoint/internal/scatter"
	"github.com/knapweedpoint/knapweedpoint/internal/scriptedtarget"
	"github.com/knapweedpoint/knapweedpoint/internal/shardplan"
)

// Guards against look-ups that wait behind calls which take longer than they have, and against times to return that are after
// the caller's deadline.
func TestHopelessLookUpIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(scriptedtarget.Behaviour{Delay: 900 * time.Millisecond})
		x.configure()
		x.dispatcher.RefusesLate = func() bool { return true }
		x.dispatcher.Planner = shardplan.Planner{Chance: func() float64 { return 0.5 }}
		for range 4 {
			x.pool.Go(func() { x.send("/one/1", 0) })
		}
		time.Sleep(500 * time.Millisecond)
		start := time.Now()
		refusal := x.send("/one/1", 300*time.Millisecond).(dispatch.NotRun)
		require.Zero(t, time.Since(start))
		require.Equal(t, scatter.ReasonDeadline, refusal.Reason)
		require.LessOrEqual(t, refusal.RetryAfter, 100*time.Millisecond)
		require.Positive(t, refusal.RetryAfter)
		time.Sleep(5 * time.Second)
		require.IsType(t, dispatch.Forwarded{}, x.send("/one/1", 2*time.Second))
		x.pool.Close()
	})
}
