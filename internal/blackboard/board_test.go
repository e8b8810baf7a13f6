package blackboard_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
)

// Guards against a daemon that is told to stop just as it becomes ready, and then counts as ready until its exit.
func TestDrainingIsTheLastPhase(t *testing.T) {
	var b blackboard.Board
	b.SetPhase(blackboard.Starting{})
	b.SetPhase(blackboard.Draining{})
	b.SetPhase(blackboard.Serving{})
	require.True(t, b.IsDraining())
	require.Equal(t, "draining", b.PhaseName())
}
