package platform_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/pkg/platform"
)

// cutServer answers each request with the first bytes of a reply, and ends the connection.
type cutServer struct {
	wire  atomic.Value
	reset atomic.Bool
}

// start serves on a loopback address until the test ends.
func (s *cutServer) start(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	var group sync.WaitGroup
	t.Cleanup(func() { _ = l.Close(); group.Wait() })
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			group.Go(func() { s.serve(c) })
		}
	})
	return l.Addr().String()
}

func (s *cutServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
		return
	}
	_, _ = c.Write([]byte(s.wire.Load().(string)))
	if s.reset.Load() {
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// Guards against a reply that ends early and counts as an empty or shorter value: a team's subtree cut short was kept
// under its digest, so that each later configuration with that subtree was refused.
func TestReplyCutAfterAnyByteIsUnavailable(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	s := &cutServer{}
	c := platform.NewClient(s.start(t))
	ctx := context.Background()
	for _, read := range []struct {
		name, body string
		call       func() error
	}{
		{"index", `{"revision":3,"fleet":{},"branches":[]}`, func() error { _, err := c.Index(ctx, 0, 0); return err }},
		{"list", `{"revision":3,"vms":[{"name":"a"}]}`, func() error { _, err := c.VMs(ctx, 0, 0); return err }},
		{"team", `{"services":[{"name":"x"}]}`, func() error { _, err := c.Team(ctx, platform.Branch{Team: "t", Digest: "d"}); return err }},
	} {
		for _, wire := range []string{
			head + "Content-Length: " + strconv.Itoa(len(read.body)) + "\r\n\r\n" + read.body,
			head + "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x", len(read.body)) + "\r\n" + read.body + "\r\n0\r\n\r\n",
			head + "Connection: close\r\n\r\n" + read.body,
		} {
			for _, reset := range []bool{false, true} {
				s.reset.Store(reset)
				for n := range len(wire) {
					s.wire.Store(wire[:n])
					err := read.call()
					require.True(t, errorx.IsOfType(err, platform.Unavailable), "%s cut after %q: %v", read.name, wire[:n], err)
				}
			}
			s.reset.Store(false)
			s.wire.Store(wire)
			require.NoError(t, read.call())
		}
	}
}
