package peercopy_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedpoint/knapweedpoint/internal/cutproxy"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/peercopy"
	"github.com/knapweedpoint/knapweedpoint/internal/readbudget"
)

// Guards against a copy that ends within its head or body and counts as an empty or shorter state.
func TestCopyCutAfterAnyByteIsNoCopy(t *testing.T) {
	whole := &gossippb.PackedCopy{Copy: []byte("0123456789")}
	server := httptest.NewServer(peercopy.NewHandler(func(*gossippb.FetchRequest) (*gossippb.PackedCopy, error) { return whole, nil }))
	t.Cleanup(server.Close)
	p := &cutproxy.Proxy{Upstream: strings.TrimPrefix(server.URL, "http://")}
	address, err := p.Start()
	require.NoError(t, err)
	t.Cleanup(p.Close)
	c := peercopy.NewHTTPClient(readbudget.New(0))
	got, err := peercopy.Fetch(context.Background(), c, address, &gossippb.FetchRequest{})
	require.NoError(t, err)
	require.True(t, proto.Equal(whole, got))
	length := p.Length()
	for _, reset := range []bool{false, true} {
		for missing := 1; missing <= length; missing++ {
			p.Cut(missing, reset)
			_, err := peercopy.Fetch(context.Background(), c, address, &gossippb.FetchRequest{})
			require.Error(t, err, "%d of %d bytes missing", missing, length)
		}
	}
}
