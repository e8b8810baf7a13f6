package peerapi

import (
	"context"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/cutproxy"
	"github.com/knapweedpoint/knapweedpoint/internal/peer"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
)

// Guards against a reply of another daemon that ends within its head or body and counts as an acknowledgement or as an
// unchanged configuration.
func TestReplyCutAfterAnyByteIsUnacknowledged(t *testing.T) {
	p := &cutproxy.Proxy{Upstream: serve(t)}
	address, err := p.Start()
	require.NoError(t, err)
	t.Cleanup(p.Close)
	c := &peer.Client{}
	for name, call := range map[string]func() error{
		"exchange": func() error {
			_, err := c.Exchange(context.Background(), address, &peerpb.Envelope{From: "vm-b1", To: "vm-a1"})
			return err
		},
		"unchanged configuration": func() error {
			_, err := c.Configuration(context.Background(), address, &peerpb.ConfigurationRequest{After: 7, ListAfter: 3})
			return err
		},
		"list of VMs": func() error {
			_, err := c.Configuration(context.Background(), address, &peerpb.ConfigurationRequest{After: 7, ListAfter: 2})
			return err
		},
	} {
		p.Cut(0, false)
		require.NoError(t, call())
		length := p.Length()
		for _, reset := range []bool{false, true} {
			for missing := 1; missing <= length; missing++ {
				p.Cut(missing, reset)
				err := call()
				require.True(t, errorx.IsOfType(err, peer.Unacknowledged), "%s with %d of %d bytes missing: %v", name, missing, length, err)
			}
		}
	}
}
