package gossip

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
)

// After a VM was suspended, its socket may hold both a call and its cancellation.
func TestCancellationsAreHandledFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b inbox
		require.True(t, b.put(&gossippb.Datagram{PartsCall: &gossippb.PartsCall{Id: 1}}))
		require.True(t, b.put(&gossippb.Datagram{PartsCancel: &gossippb.PartsCancel{Id: 1}}))
		var got []*gossippb.Datagram
		var group errgroup.Group
		group.Go(func() error {
			for ds := range b.batches() {
				got = append(got, ds...)
			}
			return nil
		})
		synctest.Wait()
		b.close()
		require.NoError(t, group.Wait())
		require.Len(t, got, 2)
		require.NotNil(t, got[0].GetPartsCancel())
	})
}

func TestInboxIsBounded(t *testing.T) {
	var b inbox
	for range maxQueued {
		require.True(t, b.put(&gossippb.Datagram{}))
	}
	require.False(t, b.put(&gossippb.Datagram{}))
}
