package targetpool_test

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/targetpool"
)

var target = inventory.Target{ID: "a", Address: "10.0.0.1:80"}

// newPool returns a pool whose connections are pipes, and a counter of its dials.
func newPool() (*targetpool.Pool, *int) {
	dials := 0
	return &targetpool.Pool{Dial: func(context.Context, string) (net.Conn, error) {
		dials++
		c, _ := net.Pipe()
		return c, nil
	}}, &dials
}

func get(t *testing.T, p *targetpool.Pool) *targetpool.Conn {
	t.Helper()
	c, err := p.Get(context.Background(), target)
	require.NoError(t, err)
	return c
}

func TestConnectionsAreReusedWhileTheTargetKeepsThemOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p, dials := newPool()
		c := get(t, p)
		require.False(t, c.Reused)
		p.Put(c, 4*time.Second)
		time.Sleep(3 * time.Second)
		c = get(t, p)
		require.True(t, c.Reused)
		p.Put(c, 4*time.Second)
		time.Sleep(5 * time.Second)
		require.False(t, get(t, p).Reused, "idle for longer than the target keeps it open")
		require.Equal(t, 2, *dials)
	})
}

func TestIdleConnectionsAreBounded(t *testing.T) {
	p, _ := newPool()
	var cs []*targetpool.Conn
	for range 3 * targetpool.DefaultMaxIdle {
		cs = append(cs, get(t, p))
	}
	for _, c := range cs {
		p.Put(c, 0)
	}
	require.Equal(t, targetpool.DefaultMaxIdle, p.Len())
	p.CloseIdle(target.ID)
	require.Zero(t, p.Len())
}

func TestSweepClosesExpiredAndUnknown(t *testing.T) {
	for _, c := range []struct {
		name  string
		after time.Duration
		known bool
		want  int
	}{{"fresh", time.Second, true, 1}, {"old", time.Minute, true, 0}, {"unknown", time.Second, false, 0}} {
		t.Run(c.name, func(t *testing.T) {
			p, _ := newPool()
			p.Put(get(t, p), 0)
			p.Sweep(time.Now().Add(c.after), func(string) bool { return c.known })
			require.Equal(t, c.want, p.Len())
		})
	}
}

func TestDialErrorsAreReturned(t *testing.T) {
	p := &targetpool.Pool{Dial: func(context.Context, string) (net.Conn, error) { return nil, errors.New("refused") }}
	_, err := p.Get(context.Background(), target)
	require.Error(t, err)
}

// A target accepts fewer connections than there are daemons, so idle connections must leave room for new ones.
func TestIdleLimitFollowsWhatATargetAccepts(t *testing.T) {
	for _, c := range []struct{ limit, want int }{{0, 1}, {2, 2}, {100, targetpool.DefaultMaxIdle}} {
		p, _ := newPool()
		p.SetMaxIdle(func(string) int { return c.limit })
		var cs []*targetpool.Conn
		for range 3 * targetpool.DefaultMaxIdle {
			cs = append(cs, get(t, p))
		}
		for _, x := range cs {
			p.Put(x, 0)
		}
		require.Equal(t, c.want, p.Len())
	}
}
