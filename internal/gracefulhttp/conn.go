package gracefulhttp

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"
)

const (
	// requestLinger is how long a connection without a request stays open after Stop, for a request that is on its way.
	requestLinger = 250 * time.Millisecond
	// lastRead is the time for a last read from a connection that is about to be closed. A deadline that has passed
	// hides bytes that have arrived.
	lastRead = 5 * time.Millisecond
)

// headGivenUp answers a request whose head has not arrived completely. Status 408 tells that it has not run.
const headGivenUp = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// conn is a tracked connection.
type conn struct {
	net.Conn
	tracker *Tracker

	mu sync.Mutex
	// begun is set while a request is being read or answered, active once its head has been read.
	begun, active bool
	// closing is set once the connection is to be closed unless a request begins. lingering is set until its last read.
	closing, lingering bool
	// aborted is set once reads fail, muted once the connection has been answered here: the server's own answer is then
	// dropped.
	aborted, muted bool
	// deadline is the read deadline that the server has set; lingerUntil bounds it while the connection is closing.
	deadline, lingerUntil time.Time
}

// Read reads the bytes of a request. On a closing connection it fails when no request begins.
func (c *conn) Read(p []byte) (int, error) {
	for {
		if c.giveUp() {
			return 0, os.ErrDeadlineExceeded
		}
		n, err := c.Conn.Read(p)
		if n > 0 {
			c.begin()
			return n, err
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) || !c.readOnceMore() && !c.giveUp() {
			return n, err
		}
	}
}

// Write writes the bytes of an answer.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	muted := c.muted
	c.mu.Unlock()
	if muted {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// NetConn returns the connection that is tracked.
func (c *conn) NetConn() net.Conn { return c.Conn }

// CloseWrite ends the stream to the caller. The server uses it before it closes a connection with unread bytes.
func (c *conn) CloseWrite() error {
	if x, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return x.CloseWrite()
	}
	return nil
}

// SetReadDeadline sets the deadline of reads. The server uses it for its own timeouts.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.applyDeadline()
}

// Close closes the connection.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.tracker.forget(c)
	return err
}

func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.markBegun()
}

// markBegun keeps the connection open for a request. The caller must hold mu.
func (c *conn) markBegun() {
	if c.begun {
		return
	}
	c.begun = true
	if c.closing {
		c.closing = false
		_ = c.applyDeadline()
	}
}

func (c *conn) becomeActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A pipelined request may have been read together with the one before it.
	c.markBegun()
	c.active = true
}

func (c *conn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun, c.active = false, false
}

// stop closes the connection unless a request begins within requestLinger.
func (c *conn) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun || c.closing {
		return
	}
	c.closing, c.lingering, c.lingerUntil = true, true, time.Now().Add(requestLinger)
	_ = c.applyDeadline()
}

// readOnceMore allows the last read of a closing connection. It reports false if the server's own deadline has passed
// or the last read was done.
func (c *conn) readOnceMore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.aborted || !c.closing || !c.lingering || !c.deadline.IsZero() && !now.Before(c.deadline) {
		return false
	}
	c.lingering, c.lingerUntil = false, now.Add(lastRead)
	return c.applyDeadline() == nil
}

func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.aborted = true
	_ = c.applyDeadline()
}

// giveUp reports whether reads must fail. A head that has begun to arrive is answered: the server would take the part
// that it has for a malformed head.
func (c *conn) giveUp() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.aborted && c.begun && !c.active && !c.muted {
		c.muted = true
		// A write error means that the caller is gone.
		_, _ = c.Conn.Write([]byte(headGivenUp))
	}
	return c.aborted
}

// applyDeadline sets the deadline of the underlying connection. The caller must hold mu.
func (c *conn) applyDeadline() error {
	t := c.deadline
	if c.closing && (t.IsZero() || c.lingerUntil.Before(t)) {
		t = c.lingerUntil
	}
	if c.aborted {
		t = time.Unix(1, 0)
	}
	return c.Conn.SetReadDeadline(t)
}
