package storesync_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/published"
	"github.com/knapweedpoint/knapweedpoint/internal/roster"
	"github.com/knapweedpoint/knapweedpoint/internal/storesync"
)

// librarian is the peers of a daemon that only copies: every peer has the copy of one source.
type librarian struct {
	source *storesync.Syncer
	mu     *sync.Mutex
	asked  map[string]int
}

func (librarian) Push(*gossippb.Push) {}
func (librarian) Rank() int           { return 200 }
func (librarian) Members() int        { return 139 }

func (librarian) Seeds() []roster.Member { return nil }

func (l librarian) Fetch(_ context.Context, from roster.Member, have *gossippb.FetchRequest) (*gossippb.PackedCopy, error) {
	l.mu.Lock()
	l.asked[from.Name]++
	l.mu.Unlock()
	time.Sleep(peerTime)
	return l.source.Copy(have)
}

// whole returns a syncer that has read the store.
func whole(ctx context.Context, group *errgroup.Group, s *store) *storesync.Syncer {
	y := storesync.New(storesync.Options{
		Source: reader{store: s}, Peers: librarian{mu: &sync.Mutex{}, asked: map[string]int{}},
		Cell: &blackboard.Cell[published.State]{}, Bound: func() time.Duration { return drainBound },
	})
	group.Go(func() error { y.Run(ctx); return nil })
	time.Sleep(time.Second)
	return y
}

// The pattern: a new configuration, and 138 daemons that hear of it at the same moment. The first that have it tell
// the others, so that the link of no single one has to carry all copies.
func TestCopiesAreSpreadOverThoseThatTell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		s := newStore()
		source := whole(ctx, &group, s)
		s.setDown("behind", true)
		l := librarian{source: source, mu: &sync.Mutex{}, asked: map[string]int{}}
		const daemons = 100
		syncers := lo.Times(daemons, func(int) *storesync.Syncer {
			y := storesync.New(storesync.Options{
				Source: reader{store: s, daemon: "behind"}, Peers: l,
				Cell: &blackboard.Cell[published.State]{}, Bound: func() time.Duration { return drainBound }, FirstStart: true,
			})
			group.Go(func() error { y.Run(ctx); return nil })
			for i := range 8 {
				y.Hear(roster.Member{Name: fmt.Sprint("vm", i)}, 1, 0)
			}
			return y
		})
		time.Sleep(2 * time.Second)
		cancel()
		_ = group.Wait()
		for _, y := range syncers {
			require.True(t, y.State().Configured())
		}
		require.Equal(t, daemons, lo.Sum(lo.Values(l.asked)), "one copy each")
		for name, n := range l.asked {
			require.Less(t, n, daemons/3, name)
		}
	})
}

func TestCopyHasOnlyWhatIsLacking(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		s := newStore()
		y := whole(ctx, &group, s)
		revision := y.State().Inventory.Revision
		for _, c := range []struct {
			name                       string
			have                       *gossippb.FetchRequest
			targets, changes, document bool
		}{
			{"nothing", &gossippb.FetchRequest{}, true, false, true},
			{"an older configuration", &gossippb.FetchRequest{Revision: revision}, false, true, true},
			{"older targets", &gossippb.FetchRequest{Version: 1, Revision: 1}, true, false, false},
			{"all", &gossippb.FetchRequest{Version: 1, Revision: revision}, false, true, false},
		} {
			copied := unpacked(t, y, c.have)
			require.Equal(t, c.targets, len(copied.GetTargets()) > 0, c.name)
			require.Equal(t, c.changes, copied.GetChanges() != nil, c.name)
			require.Equal(t, c.document, len(copied.GetConfiguration()) > 0, c.name)
		}
		cancel()
		_ = group.Wait()
	})
}

// unpacked returns what a syncer has for a peer.
func unpacked(t *testing.T, y *storesync.Syncer, have *gossippb.FetchRequest) *gossippb.Copy {
	t.Helper()
	m, err := y.Copy(have)
	require.NoError(t, err)
	r, err := gzip.NewReader(bytes.NewReader(m.GetCopy()))
	require.NoError(t, err)
	data, err := io.ReadAll(r)
	require.NoError(t, err)
	copied := &gossippb.Copy{}
	require.NoError(t, proto.Unmarshal(data, copied))
	require.Less(t, len(m.GetCopy()), len(data)+64, "compressed")
	return copied
}
