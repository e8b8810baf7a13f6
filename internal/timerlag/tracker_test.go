package timerlag_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/timerlag"
)

func TestEstimateCoversMostDelays(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 2))
	var tracker timerlag.Tracker
	require.Zero(t, tracker.Estimate())
	for range 2000 {
		tracker.Observe(time.Duration(r.IntN(10_000)) * time.Microsecond)
	}
	require.InDelta(t, 9, tracker.Estimate().Seconds()*1000, 1.5)
}

func TestEstimateIsBounded(t *testing.T) {
	var tracker timerlag.Tracker
	for range 2000 {
		tracker.Observe(time.Second)
	}
	require.Equal(t, 15*time.Millisecond, tracker.Estimate())
	for range 10000 {
		tracker.Observe(0)
	}
	require.Zero(t, tracker.Estimate())
}
