package connguard

import (
	"bytes"
	"net"
	"sync"
	"time"
)

const (
	// freeCost is the cost in bytes of a request that is not charged. connectionMemory covers it, and an ordinary request
	// without a long body stays below it.
	freeCost = 4 << 10
	// serverBuffer is the size in bytes of net/http's read buffer. A longer read is a part of a body.
	serverBuffer = 4 << 10
	// fieldCost is the memory in bytes that a header field takes besides its text: 90 were measured in the parsed header, and
	// part of it is copied for the target.
	fieldCost = 128
	// maxAhead is how many requests a caller may send ahead in one read. An ordinary caller sends one request at a time.
	maxAhead = 8
	// refusalTimeout bounds the write of a refusal to a caller that reads nothing.
	refusalTimeout = 10 * time.Millisecond
)

// headRefused answers a request whose head does not fit. Status 503 tells that it has not run.
const headRefused = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

var endOfHead = []byte("\r\n\r\n")

// phase is what a connection waits for.
type phase int

const (
	receivingHead phase = iota
	receivingBody
	answering
	idle
	// closing connections wait for the caller's end only.
	closing
)

// Conn is a connection whose request and answer are charged to the guard's budget.
type Conn struct {
	net.Conn
	guard *Guard

	mu    sync.Mutex
	phase phase
	// since is when the phase began, or the first byte of the request arrived.
	since time.Time
	// cost is the memory of the request in bytes, charged the part of it that is charged to the budget. lastCost is that of the
	// latest read: it may hold the beginning of the next request.
	cost, charged, lastCost int64
	// ahead is the number of further requests that the latest read holds if none has a body.
	ahead int
	// writing is when the write in progress began.
	writing time.Time
	// writeCharged is the charge of the write in progress.
	writeCharged int64
	// refused is set when the request does not fit, evicted when the connection gave way to others, muted when a refusal was
	// written here: the server's own is then dropped.
	refused, evicted, muted, closed bool
}

// Read reads bytes of a request and charges them.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return 0, ErrEvicted.New("connection gave way to others")
	}
	if n == 0 {
		return n, err
	}
	if c.phase == idle {
		c.phase, c.since = receivingHead, time.Now()
	}
	if !c.count(p[:n]) || c.charge() {
		return n, err
	}
	if c.phase == receivingHead && !c.evicted {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		_, _ = c.Conn.Write([]byte(headRefused))
		c.muted = true
	}
	return 0, ErrRefused.New("no memory left for a request of %d bytes", c.cost)
}

// count adds the cost of what was read. It reports false if it belongs to the next request, which is charged later: an error
// would cancel the request that is being answered. The caller must hold mu.
func (c *Conn) count(p []byte) bool {
	n := int64(len(p))
	if n > 1 {
		c.ahead = bytes.Count(p, endOfHead) - 1
	}
	withFields := n + fieldCost*int64(bytes.Count(p, []byte{'\n'}))
	switch {
	case c.phase == answering:
		c.lastCost += withFields
		return false
	case n > serverBuffer || c.ahead == 0 && bytes.HasSuffix(p, endOfHead):
		// It holds nothing of the next request.
		c.lastCost = 0
	default:
		c.lastCost = withFields
	}
	if c.phase == receivingBody {
		withFields = n
	}
	c.cost += withFields
	return true
}

// charge charges the budget with the cost of the request. The caller must hold mu, which is free meanwhile.
func (c *Conn) charge() bool {
	need := c.cost - freeCost - c.charged
	if need <= 0 || c.refused {
		return !c.refused
	}
	c.mu.Unlock()
	ok := c.guard.reserve(need)
	c.mu.Lock()
	switch {
	case !ok:
		c.refused = true
		return false
	case c.evicted || c.closed:
		c.guard.release(need)
		return false
	}
	c.charged += need
	return true
}

// Write writes bytes of an answer. What does not fit into a buffer is charged until it is written.
func (c *Conn) Write(p []byte) (int, error) {
	open := c.beginWrite(int64(len(p)))
	defer c.endWrite()
	if !open {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// beginWrite charges a write of n bytes. It reports false if the connection has been answered here.
func (c *Conn) beginWrite(n int64) bool {
	charge := int64(0)
	if n > freeCost && c.guard.Budget != nil {
		charge = n
		if !c.guard.reserve(n) {
			// The request has run and its answer exists. Further requests are refused until the budget has room again.
			c.guard.Budget.Exceed(n)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing, c.writeCharged = time.Now(), charge
	return !c.muted
}

func (c *Conn) endWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = time.Time{}
	c.releaseWrite()
}

// StartBody begins the body of a request whose head has arrived. It reports false if the request must be refused.
func (c *Conn) StartBody(hasBody bool) bool {
	if c == nil {
		return true
	}
	if c.guard.exhausted() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused || c.evicted || !hasBody && c.ahead > maxAhead {
		return false
	}
	if hasBody {
		c.phase, c.since = receivingBody, time.Now()
		_ = c.Conn.SetReadDeadline(c.since.Add(BodyTimeout))
	}
	return true
}

// EndBody ends the body of a request that has arrived completely. It reports false if the connection was evicted before.
func (c *Conn) EndBody() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return false
	}
	if c.phase == receivingBody {
		c.phase = answering
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
	return true
}

// headReceived ends the head of a request. A pipelined head may have arrived together with the request before it.
func (c *Conn) headReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == idle {
		c.since = time.Now()
	}
	c.phase = answering
	if c.guard.EvictActive {
		c.phase = receivingBody
	}
	if !c.charge() && c.guard.EvictActive {
		_ = c.Conn.Close()
	}
}

// becomeIdle ends a request.
func (c *Conn) becomeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since, c.cost = idle, time.Now(), c.lastCost
	c.releaseCharge()
}

// SetReadDeadline sets the deadline of reads, unless the connection was evicted.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// CloseWrite ends the stream to the caller.
func (c *Conn) CloseWrite() error {
	c.mu.Lock()
	c.phase = closing
	c.mu.Unlock()
	if x, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return x.CloseWrite()
	}
	return nil
}

// Close closes the connection.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	c.closed = true
	c.releaseCharge()
	c.mu.Unlock()
	c.guard.forget(c)
	return err
}

// candidate returns the connection's place in the order of eviction. It reports false if it has not stalled.
func (c *Conn) candidate(now time.Time, forMemory bool) (candidate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stalled(now, forMemory)
}

// stalled is candidate for callers that hold mu.
func (c *Conn) stalled(now time.Time, forMemory bool) (candidate, bool) {
	switch {
	case forMemory && c.charged+c.writeCharged == 0:
		return candidate{}, false
	case !c.writing.IsZero() && now.Sub(c.writing) > stalledWrite:
		return candidate{conn: c, since: c.writing}, true
	case c.phase == closing:
		return candidate{conn: c, since: c.since}, true
	case c.phase == answering || now.Sub(c.since) <= stalledReceive:
		return candidate{}, false
	case c.phase == idle:
		return candidate{conn: c, since: c.since, rank: 1}, true
	default:
		return candidate{conn: c, since: c.since}, true
	}
}

// evict ends the connection if it is still stalled. While a body is received, only its reads end if memory is needed, so that
// the caller is told that its request has not run.
func (c *Conn) evict(now time.Time, forMemory bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.stalled(now, forMemory); !ok {
		return false
	}
	c.evicted = true
	c.releaseCharge()
	if forMemory && c.phase == receivingBody && c.writing.IsZero() && !c.guard.EvictActive {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		return true
	}
	c.releaseWrite()
	_ = c.Conn.Close()
	c.guard.forget(c)
	return true
}

func (c *Conn) releaseCharge() {
	c.guard.release(c.charged)
	c.charged = 0
}

func (c *Conn) releaseWrite() {
	c.guard.release(c.writeCharged)
	c.writeCharged = 0
}

func (g *Guard) release(n int64) {
	if g.Budget != nil && n != 0 {
		g.Budget.Release(n)
	}
}
