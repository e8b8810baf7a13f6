package returntime_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/returntime"
)

// Guards against callers that all return at once, less urgent callers that return before urgent ones which were refused at the
// same time, and callers that are told to wait for longer than a third of their time.
func TestReturnsAreSpread(t *testing.T) {
	const rate = 20
	var s returntime.Schedule
	now := time.Now()
	for range 5 * rate {
		now = now.Add(time.Second / rate)
		s.RecordAnswer("s", now)
	}
	counts := map[int]int{}
	var latest [2]time.Duration
	for i := range 2 * rate {
		priority := i % 2
		wait := s.Return(returntime.Refusal{Service: "s", Priority: priority, Wait: 100 * time.Millisecond, Remaining: 12 * time.Second}, now)
		require.GreaterOrEqual(t, wait, 100*time.Millisecond)
		require.Less(t, wait, 4*time.Second)
		latest[priority] = max(latest[priority], wait)
		if priority == 0 {
			counts[int(wait/(100*time.Millisecond))]++
		}
	}
	for _, n := range counts {
		require.LessOrEqual(t, n, rate/5, "twice the rate at which places are freed")
	}
	require.Greater(t, latest[1], latest[0])
	for range 100 {
		wait := s.Return(returntime.Refusal{Service: "s", Priority: 1, Wait: time.Hour, Remaining: 600 * time.Millisecond}, now)
		require.LessOrEqual(t, wait, 200*time.Millisecond)
		require.GreaterOrEqual(t, wait, 100*time.Millisecond)
	}
	require.Zero(t, s.Return(returntime.Refusal{Service: "s", Remaining: -time.Second}, now))
}
