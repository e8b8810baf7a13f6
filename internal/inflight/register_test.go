package inflight_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap/zapcore"

	"github.com/knapweedpoint/knapweedpoint/internal/inflight"
)

func listed(t *testing.T, r *inflight.Register) []any {
	t.Helper()
	e := zapcore.NewMapObjectEncoder()
	require.NoError(t, e.AddArray("inFlight", r))
	return e.Fields["inFlight"].([]any)
}

func TestLogListsTheOldestRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var r inflight.Register
		require.Empty(t, listed(t, &r))
		var remove []func()
		for i := range 25 {
			remove = append(remove, r.Add(fmt.Sprint("r", i), "get", time.Now()))
			time.Sleep(time.Millisecond)
		}
		require.Equal(t, 25, r.Len())
		remove[0]()
		remove[0]()
		lines := listed(t, &r)
		require.Len(t, lines, 20)
		require.Equal(t, map[string]any{"request": "r1", "route": "get", "ms": int64(24)}, lines[0])
		for _, f := range remove {
			f()
		}
		require.Zero(t, r.Len())
	})
}
