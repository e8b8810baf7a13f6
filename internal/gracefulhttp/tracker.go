package gracefulhttp

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// acceptLinger is how long a listener still accepts after Stop, so that connections whose handshake is complete are
// served and not reset.
const acceptLinger = 20 * time.Millisecond

// Tracker follows the connections of one or more http.Servers and ends them without losing a request that has begun.
// http.Server.Shutdown drops the requests that it reads after the call and waits for connections that were never used.
// The zero value is ready to use.
type Tracker struct {
	mu        sync.Mutex
	conns     map[*conn]http.ConnState
	listeners map[*listener]struct{}
	// changed is closed when a connection or a listener ends; nil if nobody waits.
	changed           chan struct{}
	stopping, aborted bool
}

// Listener returns a listener whose connections are tracked. After Stop it returns net.ErrClosed.
func (t *Tracker) Listener(l net.Listener) net.Listener {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := &listener{Listener: l, tracker: t}
	if t.listeners == nil {
		t.listeners = map[*listener]struct{}{}
	}
	t.listeners[out] = struct{}{}
	if t.stopping {
		out.stop()
	}
	return out
}

// Hook is the ConnState hook of the servers.
func (t *Tracker) Hook(c net.Conn, state http.ConnState) {
	x, ok := c.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateClosed, http.StateHijacked:
		t.forget(x)
	case http.StateIdle:
		t.setState(x, state)
		x.becomeIdle()
		if t.isStopping() {
			x.stop()
		}
	case http.StateActive:
		t.setState(x, state)
		x.becomeActive()
	default:
		t.setState(x, state)
	}
}

// Counts returns the number of connections by state: "new", "idle" or "active".
func (t *Tracker) Counts() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[string]int{}
	for _, s := range t.conns {
		counts[strings.ToLower(s.String())]++
	}
	return counts
}

// Stop closes the listeners and the connections on which no request begins within a short time. Answers must carry
// Connection: close from then on.
func (t *Tracker) Stop() {
	t.mu.Lock()
	t.stopping = true
	for l := range t.listeners {
		l.stop()
	}
	conns := t.snapshot()
	t.mu.Unlock()
	for _, c := range conns {
		c.stop()
	}
}

// Abort gives up the requests that have not arrived completely. Answers can still be written.
func (t *Tracker) Abort() {
	t.mu.Lock()
	t.aborted = true
	conns := t.snapshot()
	t.mu.Unlock()
	for _, c := range conns {
		c.abort()
	}
}

// Wait returns when all connections and listeners have ended, or with the error of ctx.
func (t *Tracker) Wait(ctx context.Context) error {
	for {
		changed := t.watch()
		if changed == nil {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// watch returns a channel that is closed at the next change, or nil when nothing is open.
func (t *Tracker) watch() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.conns)+len(t.listeners) == 0 {
		return nil
	}
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

func (t *Tracker) isStopping() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stopping
}

// snapshot returns the connections. The caller must hold mu.
func (t *Tracker) snapshot() []*conn {
	out := make([]*conn, 0, len(t.conns))
	for c := range t.conns {
		out = append(out, c)
	}
	return out
}

func (t *Tracker) setState(c *conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, open := t.conns[c]; open {
		t.conns[c] = s
	}
}

func (t *Tracker) add(raw net.Conn) *conn {
	t.mu.Lock()
	c := &conn{Conn: raw, tracker: t}
	if t.conns == nil {
		t.conns = map[*conn]http.ConnState{}
	}
	t.conns[c] = http.StateNew
	stopping, aborted := t.stopping, t.aborted
	t.mu.Unlock()
	if stopping {
		c.stop()
	}
	if aborted {
		c.abort()
	}
	return c
}

func (t *Tracker) forget(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
	t.notify()
}

func (t *Tracker) forgetListener(l *listener) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.listeners, l)
	t.notify()
}

// notify wakes those who wait. The caller must hold mu.
func (t *Tracker) notify() {
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
}
