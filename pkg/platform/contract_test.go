package platform_test

import (
	"context"
	"encoding/json"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/fakeplatform"
	"github.com/knapweedpoint/knapweedpoint/internal/layout"
	"github.com/knapweedpoint/knapweedpoint/pkg/platform"
)

// TestPlatformContract checks the client and the fake platform against the contract.
func TestPlatformContract(t *testing.T) {
	p := &fakeplatform.Platform{}
	s := httptest.NewServer(fakeplatform.NewHandler(p))
	t.Cleanup(s.Close)
	c := platform.NewClient(s.Listener.Addr().String())
	ctx := context.Background()
	_, err := c.Index(ctx, 0, time.Millisecond)
	require.True(t, errorx.IsOfType(err, platform.Unavailable), "nothing is published yet: %v", err)

	tree := layout.Small().Tree(func(string) string { return "127.0.0.1:1" })
	publish(t, p, tree)
	index, err := c.Index(ctx, 0, time.Minute)
	require.NoError(t, err)
	require.EqualValues(t, 1, index.Revision)
	raw, err := c.Team(ctx, index.Branches[0])
	require.NoError(t, err)
	require.Contains(t, string(raw), "visitSearch-01")
	_, err = c.Team(ctx, platform.Branch{Team: "visits", Digest: "gone"})
	require.True(t, errorx.IsOfType(err, platform.Unavailable), "%v", err)

	var group sync.WaitGroup
	group.Go(func() { publish(t, p, tree.WithRevision(2)) })
	next, err := c.Index(ctx, 1, time.Minute)
	require.NoError(t, err, "a watch returns with the next revision")
	require.EqualValues(t, 2, next.Revision)
	group.Wait()

	p.PublishVMs(layout.Small().VMList(func(string) string { return "127.0.0.1:1" }))
	list, err := c.VMs(ctx, 0, time.Minute)
	require.NoError(t, err)
	require.Len(t, list.VMs, 3)

	p.SetFaults(fakeplatform.Faults{Stale: 1})
	stale, err := c.Index(ctx, 2, time.Minute)
	require.NoError(t, err)
	require.EqualValues(t, 1, stale.Revision, "a stale platform serves an earlier revision")
	p.SetFaults(fakeplatform.Faults{Down: true})
	_, err = c.VMs(ctx, 0, time.Minute)
	require.True(t, errorx.IsOfType(err, platform.Unavailable), "%v", err)
}

func publish(t *testing.T, p *fakeplatform.Platform, tree any) {
	t.Helper()
	raw, err := json.Marshal(tree)
	require.NoError(t, err)
	require.NoError(t, p.Publish(raw))
}
