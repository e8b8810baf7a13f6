package workers_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/workers"
)

func TestAJobThatPanicsEndsAlone(t *testing.T) {
	panicked := make(chan any, 1)
	p := &workers.Pool{OnPanic: func(value any, stack []byte) {
		require.Contains(t, string(stack), "panic_test.go")
		panicked <- value
	}}
	ran := make(chan bool, 2)
	p.Go(func() { panic("unexpected message") })
	require.Equal(t, "unexpected message", <-panicked)
	p.Go(func() { ran <- true })
	p.Go(func() { ran <- true })
	require.True(t, <-ran)
	require.True(t, <-ran)
	p.Close()
}
