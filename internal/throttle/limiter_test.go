package throttle_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/throttle"
)

func TestAllow(t *testing.T) {
	now := time.Now()
	var l throttle.Limiter
	require.True(t, l.Allow("a", now))
	require.False(t, l.Allow("a", now.Add(time.Second)))
	require.True(t, l.Allow("b", now))
	require.True(t, l.Allow("a", now.Add(throttle.DefaultInterval)))
}
