package connguard

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/joomcode/errorx"

	"github.com/knapweedpoint/knapweedpoint/internal/readbudget"
)

const (
	// BodyTimeout is the time limit for the body of one request. A legal body of 256 KiB arrives in it at 4.4 KB/s; a stalled
	// one gives way to others long before.
	BodyTimeout = time.Minute
	// stalledReceive is the age from which a request that has not arrived completely gives way to others. A daemon with
	// 0.13 cores gets processor time several times within it.
	stalledReceive = 250 * time.Millisecond
	// stalledWrite is the age from which an answer that is not read gives way to others.
	stalledWrite = time.Second
	// maxAdmission is how long a connection waits for its place. It exceeds stalledReceive, so that a crowd that has just
	// connected does not turn ordinary callers away.
	maxAdmission        = 300 * time.Millisecond
	admissionRetryDelay = 20 * time.Millisecond
	// scanInterval bounds the rate of scans: with one for each refused request, a crowd of 2,000 that reconnects at once made
	// a process of 136 MiB use 171 MB.
	scanInterval = 20 * time.Millisecond
	// evictedShare is the part of the evictable connections that is evicted at once, so that a crowd does not cause a scan of
	// all connections for each of its own.
	evictedShare = 8
	// connectionMemory is the memory in bytes that one connection may take: buffers, stacks and the uncounted part of its
	// request. The smallest VM, with 136 MiB, gets 2,901 connections, more than the 2,670 sockets that its callers open.
	connectionMemory = 48 << 10
	// minOwnDescriptors and ownDescriptorsShare define how many descriptors are kept for other uses than callers.
	minOwnDescriptors   = 128
	ownDescriptorsShare = 16
)

var (
	// ErrRefused is the error type of reads that exceed the memory for requests.
	ErrRefused = errorx.RejectedOperation.NewSubtype("request_memory_used_up")
	// ErrEvicted is the error type of reads from a connection that gave way to others.
	ErrEvicted = errorx.TimeoutElapsed.NewSubtype("request_stalled")
)

// Connections returns how many connections of callers a VM has memory and descriptors for; 0 stands for an unknown memory.
func Connections(memory int64, descriptors uint64) int {
	n := int(min(descriptors, 1<<20))
	n -= max(minOwnDescriptors, n/ownDescriptorsShare)
	if memory > 0 {
		n = min(n, int(memory/connectionMemory))
	}
	return max(n, 1)
}

// Guard limits the connections of one HTTP server. The zero value limits nothing.
type Guard struct {
	// MaxConnections is the number of open connections, 0 for no limit.
	MaxConnections int
	// Budget is charged with what the requests hold; nil for no limit.
	Budget *readbudget.Budget
	// EvictActive makes requests evictable while they are answered, for servers that only give information.
	EvictActive bool

	mu    sync.Mutex
	conns map[*Conn]struct{}

	// scan guards the following: the time of the latest scan for stalled connections and its buffers.
	scan    sync.Mutex
	scanned time.Time
	all     []*Conn
	found   []candidate
}

// Listener returns a listener that accepts connections within the limits.
func (g *Guard) Listener(l net.Listener) net.Listener { return &listener{Listener: l, guard: g} }

// Hook is the ConnState hook of the server.
func (g *Guard) Hook(c net.Conn, state http.ConnState) {
	x := find(c)
	if x == nil {
		return
	}
	switch state {
	case http.StateActive:
		x.headReceived()
	case http.StateIdle:
		x.becomeIdle()
	default:
	}
}

type contextKey struct{}

// Context is the ConnContext hook of the server.
func (g *Guard) Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, find(c))
}

// FromContext returns the connection of a request, nil if it is not guarded.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// find returns the guarded connection inside of others.
func find(c net.Conn) *Conn {
	for {
		if x, ok := c.(*Conn); ok {
			return x
		}
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			return nil
		}
		c = outer.NetConn()
	}
}

// admit adds a connection, in place of stalled ones if there are too many. It returns nil if there is no place for maxAdmission:
// until then the connections that are not accepted yet wait in the backlog of the system.
func (g *Guard) admit(raw net.Conn) *Conn {
	c, begin := &Conn{Conn: raw, guard: g}, time.Now()
	for !g.add(c) {
		switch {
		case g.evict(false) > 0:
		case time.Since(begin) > maxAdmission:
			return nil
		default:
			time.Sleep(admissionRetryDelay)
		}
	}
	return c
}

func (g *Guard) add(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.MaxConnections > 0 && len(g.conns) >= g.MaxConnections {
		return false
	}
	if g.conns == nil {
		g.conns = map[*Conn]struct{}{}
	}
	c.since = time.Now()
	g.conns[c] = struct{}{}
	return true
}

func (g *Guard) forget(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// reserve charges n bytes, in place of stalled requests if there is too little left.
func (g *Guard) reserve(n int64) bool {
	return g.Budget == nil || g.Budget.Reserve(n) || g.evict(true) > 0 && g.Budget.Reserve(n)
}

// exhausted reports whether the budget is used up and no stalled request gives way.
func (g *Guard) exhausted() bool {
	full := func() bool { return g.Budget != nil && g.Budget.Reserved() >= g.Budget.Limit() }
	return full() && (g.evict(true) == 0 || full())
}

// candidate is a connection that may be evicted; the lowest rank is evicted first.
type candidate struct {
	conn  *Conn
	rank  int
	since time.Time
}

// evict closes the connections that have stalled for the longest time and returns how many, 0 within scanInterval of the latest
// scan. For memory, only those that hold some count, and an idle connection holds none.
func (g *Guard) evict(forMemory bool) int {
	g.scan.Lock()
	defer g.scan.Unlock()
	now := time.Now()
	if now.Sub(g.scanned) < scanInterval {
		return 0
	}
	g.scanned = now
	g.all, g.found = g.all[:0], g.found[:0]
	g.mu.Lock()
	for c := range g.conns {
		g.all = append(g.all, c)
	}
	g.mu.Unlock()
	for _, c := range g.all {
		if x, ok := c.candidate(now, forMemory); ok {
			g.found = append(g.found, x)
		}
	}
	defer func() { clear(g.all); clear(g.found) }()
	slices.SortFunc(g.found, func(a, b candidate) int { return cmp.Or(a.rank-b.rank, a.since.Compare(b.since)) })
	n := 0
	for _, x := range g.found[:min(len(g.found), len(g.found)/evictedShare+1)] {
		if x.conn.evict(now, forMemory) {
			n++
		}
	}
	return n
}

// listener accepts the connections that the guard admits.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept returns the next connection that is admitted.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.guard.admit(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

// SetDeadline sets the deadline of Accept.
func (l *listener) SetDeadline(t time.Time) error {
	if x, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); ok {
		return x.SetDeadline(t)
	}
	return errorx.UnsupportedOperation.New("listener without deadlines")
}
