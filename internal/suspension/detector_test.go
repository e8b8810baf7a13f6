package suspension_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/suspension"
)

func TestSuspendedTimeIsMeasured(t *testing.T) {
	boot := time.Hour
	now := time.Now()
	d := suspension.Detector{BootClock: func() (time.Duration, error) { return boot, nil }}
	require.Zero(t, d.SuspendedTime(now), "the first call has nothing to compare with")
	boot += time.Second
	require.Zero(t, d.SuspendedTime(now.Add(time.Second)), "both clocks ran")
	boot += 5 * time.Second
	require.Equal(t, 4*time.Second, d.SuspendedTime(now.Add(2*time.Second)))
	boot += 100 * time.Millisecond
	require.Zero(t, d.SuspendedTime(now.Add(2*time.Second)), "too short to distinguish from a scheduling delay")
}

func TestSuspendedTimeIsZeroWithoutAClock(t *testing.T) {
	d := suspension.Detector{BootClock: func() (time.Duration, error) { return 0, errors.New("no clock") }}
	require.Zero(t, d.SuspendedTime(time.Now()))
	require.Zero(t, d.SuspendedTime(time.Now().Add(time.Hour)))
	require.Zero(t, (&suspension.Detector{}).SuspendedTime(time.Now()))
}
