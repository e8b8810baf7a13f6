package connguard_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedpoint/knapweedpoint/internal/connguard"
	"github.com/knapweedpoint/knapweedpoint/internal/readbudget"
)

const body = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n"

// start starts a server that reads bodies and answers, after 600 ms at /slow. It returns a function that connects and sends.
func start(t *testing.T, g *connguard.Guard, answer []byte) func(request string) (net.Conn, *bufio.Reader) {
	s := &http.Server{ConnState: g.Hook, ConnContext: g.Context, ReadHeaderTimeout: 10 * time.Second}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := connguard.FromContext(r.Context())
		if !conn.StartBody(r.ContentLength != 0) {
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if _, err := io.ReadAll(r.Body); err != nil || !conn.EndBody() {
			w.Header().Set("Connection", "close")
			w.WriteHeader(map[bool]int{true: http.StatusServiceUnavailable, false: http.StatusRequestTimeout}[errorx.IsOfType(err, connguard.ErrRefused)])
			return
		}
		if r.URL.Path == "/slow" {
			select {
			case <-r.Context().Done():
				panic("a request that is being answered was cancelled")
			case <-time.After(600 * time.Millisecond):
			}
		}
		_, _ = w.Write(answer)
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	var group errgroup.Group
	group.Go(func() error { return s.Serve(g.Listener(l)) })
	t.Cleanup(func() {
		_ = s.Close()
		_ = group.Wait()
		if g.Budget != nil {
			require.Eventually(t, func() bool { return g.Budget.Reserved() == 0 }, 10*time.Second, time.Millisecond, "everything is released")
		}
	})
	return func(request string) (net.Conn, *bufio.Reader) {
		c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp4", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
		_, err = io.WriteString(c, request)
		require.NoError(t, err)
		return c, bufio.NewReader(c)
	}
}

func status(r *bufio.Reader) string {
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return "closed"
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return fmt.Sprint(response.StatusCode)
}

// TestStalledConnectionsGiveWay guards against ordinary callers that find no place because others stall, and against the loss
// of a request that is being answered.
func TestStalledConnectionsGiveWay(t *testing.T) {
	connect := start(t, &connguard.Guard{MaxConnections: 2}, nil)
	_, answered := connect("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	_, stalled := connect("GET / HT")
	_, ordinary := connect("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, "200", status(ordinary))
	require.Equal(t, "closed", status(stalled))
	require.Equal(t, "200", status(answered))
}

// TestStalledBodiesGiveWay guards against requests that wait for the rest of their bodies and use up the memory for requests.
func TestStalledBodiesGiveWay(t *testing.T) {
	connect := start(t, &connguard.Guard{Budget: readbudget.New(16 * 20000)}, nil)
	_, stalled := connect(body + strings.Repeat("x", 19999))
	time.Sleep(400 * time.Millisecond)
	_, ordinary := connect(body + strings.Repeat("x", 20000))
	require.Equal(t, "200", status(ordinary))
	require.Equal(t, "408", status(stalled))
}

// TestRequestsWithoutMemoryAreRefused guards against memory that is used by header fields, or by requests sent ahead, without
// being counted.
func TestRequestsWithoutMemoryAreRefused(t *testing.T) {
	fields := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("x:\r\n", 3000)
	connect := start(t, &connguard.Guard{Budget: readbudget.New(16 * 40000)}, nil)
	_, many := connect(fields + "\r\n")
	require.Equal(t, "503", status(many))
	_, long := connect("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n" + strings.Repeat("x", 89999))
	require.Equal(t, "503", status(long))
	_, ahead := connect(strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 20))
	require.Equal(t, "503", status(ahead))
	_, few := connect(strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", 3))
	require.Equal(t, "200", status(few))
	require.Equal(t, "200", status(few))
	require.Equal(t, "200", status(few))
}

// TestUnreadAnswersGiveWay guards against memory that is held for answers which nobody reads.
func TestUnreadAnswersGiveWay(t *testing.T) {
	budget := readbudget.New(16 << 20)
	connect := start(t, &connguard.Guard{Budget: budget}, make([]byte, 32<<20))
	connect("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Eventually(t, func() bool { return budget.Reserved() > budget.Limit() }, 10*time.Second, time.Millisecond)
	_, refused := connect("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, "503", status(refused))
	time.Sleep(1200 * time.Millisecond)
	_, served := connect("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	require.Equal(t, "200", status(served))
}
