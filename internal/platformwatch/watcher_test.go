package platformwatch_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/configuration"
	"github.com/knapweedpoint/knapweedpoint/internal/fakeplatform"
	"github.com/knapweedpoint/knapweedpoint/internal/layout"
	"github.com/knapweedpoint/knapweedpoint/internal/platformwatch"
	"github.com/knapweedpoint/knapweedpoint/pkg/platform"
)

// confirmations is a Receiver that counts the confirmations of the configuration.
type confirmations struct{ trees int }

func (c *confirmations) AcceptList(platform.VMList) {}
func (c *confirmations) ConfirmTree(time.Time)      { c.trees++ }
func (c *confirmations) ConfirmList(time.Time)      {}

// Guards against a subtree that arrives cut short, without a length, and is kept under its digest: the configuration and
// all later ones with that subtree were refused, and the earlier one was confirmed as current.
func TestSubtreeCutShortIsReadAgain(t *testing.T) {
	p := &fakeplatform.Platform{}
	raw, err := json.Marshal(layout.Small().Tree(func(string) string { return "127.0.0.1:1" }))
	require.NoError(t, err)
	require.NoError(t, p.Publish(raw))
	whole := fakeplatform.NewHandler(p)
	var cut atomic.Bool
	cut.Store(true)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.URL.Path, platform.PathTeams) || !cut.Load() {
			whole.ServeHTTP(w, r)
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{\"services\":"))
			_ = c.Close()
		}
	}))
	t.Cleanup(s.Close)

	receiver := &confirmations{}
	w := &platformwatch.Watcher{
		Source: platform.NewClient(s.Listener.Addr().String()), Receiver: receiver, Log: zap.NewNop(),
		Acceptor: &configuration.Acceptor{Board: &blackboard.Board{}, Log: zap.NewNop()},
	}
	require.Error(t, w.PollTree(context.Background(), time.Millisecond))
	require.Zero(t, receiver.trees)
	cut.Store(false)
	require.NoError(t, w.PollTree(context.Background(), time.Millisecond))
	require.EqualValues(t, 1, w.Acceptor.Revision())
	require.Equal(t, 1, receiver.trees)
}
