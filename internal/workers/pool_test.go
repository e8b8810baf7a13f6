package workers_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/workers"
)

func TestPoolRunsEveryJobWhileOthersBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p workers.Pool
		var done atomic.Int64
		var group sync.WaitGroup
		unblock := make(chan struct{})
		group.Add(3 * workers.MaxIdle)
		for range 3 * workers.MaxIdle {
			p.Go(func() {
				done.Add(1)
				group.Done()
				<-unblock
			})
		}
		group.Wait()
		require.Equal(t, int64(3*workers.MaxIdle), done.Load())
		close(unblock)
		synctest.Wait()
		p.Go(func() { done.Add(1) })
		p.Close()
		require.Equal(t, int64(3*workers.MaxIdle+1), done.Load())
	})
}
