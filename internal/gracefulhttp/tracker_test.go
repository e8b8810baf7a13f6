package gracefulhttp_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedpoint/knapweedpoint/internal/gracefulhttp"
)

const (
	get  = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	slow = "GET /slow HTTP/1.1\r\nHost: h\r\n\r\n"
	post = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"

	// slowFor is how long a request to /slow takes.
	slowFor = time.Second
	// lingerEnd is how long after Stop a connection without a request is closed.
	lingerEnd = 255 * time.Millisecond
	// abortAfter is the time from Stop to Abort.
	abortAfter = 5 * time.Second
)

// pipeListener is a listener in memory. Like a TCP listener, it reports a passed deadline even if connections wait.
type pipeListener struct {
	conns    chan net.Conn
	closed   chan struct{}
	changed  chan struct{}
	deadline atomic.Pointer[time.Time]
	// failures are the errors of the next calls of Accept.
	failures []error
	// takes is the time that a connection takes to be accepted.
	takes time.Duration
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn, 100), closed: make(chan struct{}), changed: make(chan struct{}, 1)}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	if len(l.failures) > 0 {
		err := l.failures[0]
		l.failures = l.failures[1:]
		return nil, err
	}
	for {
		var timeout <-chan time.Time
		if t := l.deadline.Load(); t != nil && !t.IsZero() {
			if !time.Now().Before(*t) {
				return nil, os.ErrDeadlineExceeded
			}
			timeout = time.After(time.Until(*t))
		}
		select {
		case c := <-l.conns:
			time.Sleep(l.takes)
			return c, nil
		case <-l.closed:
			return nil, net.ErrClosed
		case <-l.changed:
		case <-timeout:
		}
	}
}

func (l *pipeListener) SetDeadline(t time.Time) error {
	l.deadline.Store(&t)
	select {
	case l.changed <- struct{}{}:
	default:
	}
	return nil
}

func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
		return net.ErrClosed
	default:
		close(l.closed)
		return nil
	}
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the caller's end of a new connection.
func (l *pipeListener) dial() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	default:
		ours, theirs := net.Pipe()
		l.conns <- theirs
		return ours, nil
	}
}

// fixture is a server with tracked connections.
type fixture struct {
	tracker  gracefulhttp.Tracker
	listener *pipeListener
	server   http.Server
	stopping atomic.Bool
	stopAt   time.Time
	group    errgroup.Group
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{listener: newPipeListener()}
	f.server.Handler, f.server.ConnState = f, f.tracker.Hook
	f.group.Go(func() error { return f.server.Serve(f.tracker.Listener(f.listener)) })
	t.Cleanup(func() {
		_ = f.server.Close()
		err := f.group.Wait()
		require.True(t, errors.Is(err, http.ErrServerClosed) || errors.Is(err, net.ErrClosed), "%v", err)
	})
	return f
}

// ServeHTTP answers 200, 503 if the body does not arrive, or 502 if the server takes the caller for gone.
func (f *fixture) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	status := http.StatusOK
	if _, err := io.ReadAll(r.Body); err != nil {
		status = http.StatusServiceUnavailable
	}
	if r.URL.Path == "/slow" {
		select {
		case <-time.After(slowFor):
		case <-r.Context().Done():
			status = http.StatusBadGateway
		}
	}
	if f.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(status)
}

// stop begins the end of the server.
func (f *fixture) stop() {
	f.stopping.Store(true)
	f.stopAt = time.Now()
	f.tracker.Stop()
	time.AfterFunc(abortAfter, f.tracker.Abort)
}

func (f *fixture) sleepUntil(sinceStop time.Duration) {
	time.Sleep(time.Until(f.stopAt.Add(sinceStop)))
}

// caller is a caller with one connection.
type caller struct {
	net.Conn
	reader *bufio.Reader
}

func (f *fixture) dial(t *testing.T) *caller {
	t.Helper()
	c, err := f.listener.dial()
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return &caller{Conn: c, reader: bufio.NewReader(c)}
}

func (c *caller) send(t *testing.T, request string) {
	t.Helper()
	_, err := io.WriteString(c, request)
	require.NoError(t, err)
}

// receive returns the status of the next answer, or 0 if the connection ends without one.
func (c *caller) receive() int {
	r, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, r.Body)
	return r.StatusCode
}

// TestConnectionsEndAfterTheirRequests guards against requests that a stopping server has begun to read and whose
// connections it closes without an answer.
func TestConnectionsEndAfterTheirRequests(t *testing.T) {
	for _, c := range []struct {
		name string
		// first is sent and answered before Stop, and then before is sent.
		first, before string
		// after is sent at the given time after Stop.
		after string
		at    time.Duration
		want  int
		// endAt is when the answer arrives or the connection ends, counted from Stop.
		endAt time.Duration
	}{
		{"unused", "", "", "", 0, 0, lingerEnd},
		{"unused, request within the linger", "", "", get, 200 * time.Millisecond, 200, 200 * time.Millisecond},
		{"unused, request within the last read", "", "", get, lingerEnd - 2*time.Millisecond, 200, lingerEnd - 2*time.Millisecond},
		{"unused, slow request within the linger", "", "", slow, 200 * time.Millisecond, 200, 1200 * time.Millisecond},
		{"unused, head begins within the linger", "", "", get[:1], 200 * time.Millisecond, http.StatusRequestTimeout, abortAfter},
		{"idle", get, "", "", 0, 0, lingerEnd},
		{"idle, request within the linger", get, "", get, 200 * time.Millisecond, 200, 200 * time.Millisecond},
		{"idle, body does not follow", get, "", post[:len(post)-1], 200 * time.Millisecond, http.StatusServiceUnavailable, abortAfter},
		{"half a head", "", get[:9], "", 0, http.StatusRequestTimeout, abortAfter},
		{"half a head, completed", "", get[:9], get[9:], 2 * time.Second, 200, 2 * time.Second},
		{"half a second head", get, get[:9], "", 0, http.StatusRequestTimeout, abortAfter},
		{"half a second head, completed", get, get[:9], get[9:], 2 * time.Second, 200, 2 * time.Second},
		{"half a body", "", post[:len(post)-1], "", 0, http.StatusServiceUnavailable, abortAfter},
		{"half a body, completed", "", post[:len(post)-1], post[len(post)-1:], 2 * time.Second, 200, 2 * time.Second},
		{"half a second body, completed", get, post[:len(post)-1], post[len(post)-1:], 2 * time.Second, 200, 2 * time.Second},
		{"in flight", "", slow, "", 0, 200, slowFor},
		{"second in flight", get, slow, "", 0, 200, slowFor},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				x := f.dial(t)
				if c.first != "" {
					x.send(t, c.first)
					require.Equal(t, 200, x.receive())
				}
				if c.before != "" {
					x.send(t, c.before)
				}
				synctest.Wait()
				f.stop()
				if c.after != "" {
					f.sleepUntil(c.at)
					x.send(t, c.after)
				}
				require.Equal(t, c.want, x.receive())
				require.Equal(t, c.endAt, time.Since(f.stopAt))
				require.Zero(t, x.receive(), "the connection ends")
				require.NoError(t, f.tracker.Wait(t.Context()))
				require.Equal(t, max(c.endAt, 25*time.Millisecond), time.Since(f.stopAt))
				require.Empty(t, f.tracker.Counts())
			})
		})
	}
}

// TestPipelinedRequestInFlightIsAnswered guards against a connection that counts as idle while a request on it is in
// flight, because the request arrived together with the one before it: Stop ended the request as if its caller were gone.
func TestPipelinedRequestInFlightIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		x := f.dial(t)
		x.send(t, get+slow)
		require.Equal(t, 200, x.receive())
		synctest.Wait()
		f.stop()
		require.Equal(t, 200, x.receive())
		require.Equal(t, slowFor, time.Since(f.stopAt))
		require.NoError(t, f.tracker.Wait(t.Context()))
	})
}

// TestRequestInFlightIsAnsweredAfterAbort guards against a caller that is taken for gone, or cut off, because requests
// that have not arrived are given up.
func TestRequestInFlightIsAnsweredAfterAbort(t *testing.T) {
	for _, c := range []struct {
		name, request string
		want          int
	}{
		// The connection cannot be read after Abort, so the handler's context ends. Its answer is still written.
		{"without a body", slow, http.StatusBadGateway},
		{"with a body", "POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", http.StatusBadGateway},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				x := f.dial(t)
				x.send(t, c.request)
				synctest.Wait()
				f.stop()
				f.tracker.Abort()
				require.Equal(t, c.want, x.receive())
				require.Zero(t, time.Since(f.stopAt))
				require.NoError(t, f.tracker.Wait(t.Context()))
			})
		})
	}
}

func TestNewConnectionsAfterStop(t *testing.T) {
	for _, c := range []struct {
		name string
		at   time.Duration
		open bool
	}{
		{"handshake at the last moment", 19 * time.Millisecond, true},
		{"listener closed", time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				synctest.Wait()
				f.stop()
				f.sleepUntil(c.at)
				raw, err := f.listener.dial()
				require.Equal(t, c.open, err == nil)
				if err == nil {
					x := &caller{Conn: raw, reader: bufio.NewReader(raw)}
					time.Sleep(200 * time.Millisecond)
					x.send(t, get)
					require.Equal(t, 200, x.receive())
					require.NoError(t, x.Close())
				}
				require.NoError(t, f.tracker.Wait(t.Context()))
			})
		})
	}
}

// TestConnectionsThatWaitAtStopAreAccepted guards against a reset of connections whose handshake was complete when the
// server was stopped, because the accepting goroutine ran too late, or file descriptors ran out for a moment.
func TestConnectionsThatWaitAtStopAreAccepted(t *testing.T) {
	for _, c := range []struct {
		name     string
		failures []error
		conns    int
		takes    time.Duration
	}{
		{"accepted late", nil, 3, 0},
		{"out of file descriptors", []error{syscall.EMFILE}, 3, 0},
		{"accepted slowly", nil, 50, time.Millisecond},
		{"accepted one by one", nil, 15, 6 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var tracker gracefulhttp.Tracker
				raw := newPipeListener()
				raw.failures, raw.takes = c.failures, c.takes
				l := tracker.Listener(raw)
				for range c.conns {
					_, err := raw.dial()
					require.NoError(t, err)
				}
				tracker.Stop()
				for _, want := range c.failures {
					_, err := l.Accept()
					require.ErrorIs(t, err, want)
				}
				time.Sleep(100 * time.Millisecond)
				for range c.conns {
					accepted, err := l.Accept()
					require.NoError(t, err)
					require.NoError(t, accepted.Close())
				}
				_, err := l.Accept()
				require.ErrorIs(t, err, net.ErrClosed)
				require.NoError(t, tracker.Wait(t.Context()))
			})
		})
	}
}

// TestConnectionsAcceptedAfterStopEnd guards against a stop that waits for connections on which nothing is sent, or for
// requests that have been given up, because they were accepted after it had begun.
func TestConnectionsAcceptedAfterStopEnd(t *testing.T) {
	const at = 10 * time.Millisecond
	for _, c := range []struct {
		name, request string
		aborted       bool
		endAt         time.Duration
	}{
		{"unused", "", false, at + lingerEnd},
		{"answered without Connection: close", get, false, at + lingerEnd},
		{"unused, after Abort", "", true, at},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t)
				synctest.Wait()
				f.stop()
				f.stopping.Store(false)
				if c.aborted {
					f.tracker.Abort()
				}
				f.sleepUntil(at)
				x := f.dial(t)
				if c.request != "" {
					x.send(t, c.request)
					require.Equal(t, 200, x.receive())
				}
				require.Zero(t, x.receive())
				require.Equal(t, c.endAt, time.Since(f.stopAt))
				require.NoError(t, f.tracker.Wait(t.Context()))
			})
		})
	}
}

// TestListenerClosesWhileCallersConnect guards against a stop without end because callers go on connecting.
func TestListenerClosesWhileCallersConnect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker gracefulhttp.Tracker
		raw := newPipeListener()
		l := tracker.Listener(raw)
		var callers errgroup.Group
		callers.Go(func() error {
			for {
				time.Sleep(time.Millisecond)
				if _, err := raw.dial(); err != nil {
					return nil
				}
			}
		})
		began := time.Now()
		tracker.Stop()
		for {
			accepted, err := l.Accept()
			if err != nil {
				require.ErrorIs(t, err, net.ErrClosed)
				break
			}
			require.NoError(t, accepted.Close())
		}
		require.Equal(t, 120*time.Millisecond, time.Since(began))
		require.NoError(t, callers.Wait())
		require.NoError(t, tracker.Wait(t.Context()))
	})
}

func TestListenerAfterStopAcceptsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker gracefulhttp.Tracker
		tracker.Stop()
		_, err := tracker.Listener(newPipeListener()).Accept()
		require.ErrorIs(t, err, net.ErrClosed)
		require.NoError(t, tracker.Wait(t.Context()))
	})
}

func TestWaitEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		x := f.dial(t)
		x.send(t, slow)
		synctest.Wait()
		require.Equal(t, map[string]int{"active": 1}, f.tracker.Counts())
		f.stop()
		ctx, cancel := context.WithTimeout(t.Context(), slowFor/2)
		defer cancel()
		require.ErrorIs(t, f.tracker.Wait(ctx), context.DeadlineExceeded)
		require.Equal(t, 200, x.receive())
		require.NoError(t, f.tracker.Wait(t.Context()))
	})
}

func TestCountsByState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.dial(t)
		idle := f.dial(t)
		idle.send(t, get)
		require.Equal(t, 200, idle.receive())
		active := f.dial(t)
		active.send(t, slow)
		synctest.Wait()
		require.Equal(t, map[string]int{"new": 1, "idle": 1, "active": 1}, f.tracker.Counts())
		require.Equal(t, 200, active.receive())
	})
}
