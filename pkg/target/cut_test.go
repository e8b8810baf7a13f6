package target_test

import (
	"context"
	"net"
	"sync"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/cutproxy"
	"github.com/knapweedpoint/knapweedpoint/internal/faketarget"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
	"github.com/knapweedpoint/knapweedpoint/pkg/target"
)

// Guards against a reply that ends within its head or body and counts as a result, as a refusal or as not sent, and
// against a batch that is sent again after it.
func TestReplyCutAfterAnyByteMayHaveRun(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	s := faketarget.NewServer(faketarget.New(faketarget.Options{Name: "t", StartWarm: true, ConnectTime: 1, ServiceTime: 1, ServiceTimeLogStdDev: 0.01}))
	var group sync.WaitGroup
	group.Go(func() { _ = s.Serve(l) })
	t.Cleanup(func() { _ = s.Close(); group.Wait() })
	p := &cutproxy.Proxy{Upstream: l.Addr().String()}
	address, err := p.Start()
	require.NoError(t, err)
	t.Cleanup(p.Close)
	for _, c := range []struct {
		name   string
		faults faketarget.Faults
		batch  *target.Batch
	}{
		{"reads", faketarget.Faults{}, batch(read(1), read(2))},
		{"booking", faketarget.Faults{}, batch(target.Request{ID: 1, Kind: settings.KindBooking, Key: "k"})},
		{"refusal", faketarget.Faults{Shed: true}, batch(read(1))},
	} {
		t.Run(c.name, func(t *testing.T) {
			s.Target.SetFaults(c.faults)
			client := &target.Client{}
			p.Cut(0, false)
			_, err := client.Run(context.Background(), address, c.batch)
			require.NoError(t, err)
			length := p.Length()
			for _, reset := range []bool{false, true} {
				for missing := 1; missing <= length; missing++ {
					p.Cut(missing, reset)
					before := p.Requests()
					reply, err := client.Run(context.Background(), address, c.batch)
					require.Truef(t, errorx.IsOfType(err, target.Lost), "%d of %d bytes missing: %+v, %v", missing, length, reply, err)
					require.Equal(t, 1, p.Requests()-before)
				}
			}
		})
	}
}
