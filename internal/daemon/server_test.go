package daemon

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
)

// Guards against a stop that reports cut requests because net/http and the tracker close the same listener.
func TestServerWithoutRequestsStopsCleanly(t *testing.T) {
	const servers = 300
	var group errgroup.Group
	for range servers {
		group.Go(func() error {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				return err
			}
			s := newServer(http.NotFoundHandler())
			group.Go(func() error { return s.serve(l) })
			time.Sleep(10 * time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			return s.stop(ctx, time.Now().Add(time.Minute))
		})
	}
	require.NoError(t, group.Wait())
}
