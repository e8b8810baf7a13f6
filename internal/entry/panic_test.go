package entry

import (
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/knapweedpoint/knapweedpoint/internal/dispatch"
	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
)

// TestRequestThatPanicsIsAnswered guards against requests that may have been passed on and whose connections are closed
// without an answer, because their handling panicked.
func TestRequestThatPanicsIsAnswered(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	d := &Daemon{
		options:    Options{Log: zap.New(core)},
		dispatcher: &dispatch.Dispatcher{State: func() platformstate.State { panic("unexpected state") }},
	}
	require.Equal(t, dispatch.Lost{Reason: reasonPanicked}, d.Answer(t.Context(), dispatch.CallerRequest{}))
	require.Equal(t, 1, logs.FilterMessage("workPanicked").Len())
}
