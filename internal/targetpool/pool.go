package targetpool

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/readbudget"
	"github.com/knapweedpoint/knapweedpoint/internal/traffic"
)

// Defaults and limits of a Pool.
const (
	// DefaultIdleTimeout is how long an idle connection is retained when the target states no time; targets close
	// idle connections after tens of seconds.
	DefaultIdleTimeout = 10 * time.Second
	// DefaultMaxIdle is the maximum number of idle connections to one target: twice its usual number of slots.
	DefaultMaxIdle = 4
	// DialTimeout bounds connection set-up, which takes 6 ms, or up to 200 ms while the target pauses.
	DialTimeout = 400 * time.Millisecond
)

// Pool holds idle connections by target; its zero value dials TCP.
type Pool struct {
	// Dial replaces DialTCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// OnDial, if set, is called after each new connection.
	OnDial func()
	// Budget limits the memory of long answers of all connections; nil means no limit.
	Budget *readbudget.Budget
	// Meter counts the bytes of all connections; nil disables counting.
	Meter *traffic.Meter

	mu        sync.Mutex
	idle      map[string][]*Conn
	idleLimit func(service string) int
}

// SetMaxIdle replaces the limit of idle connections to one target of a service. The limit is clamped to the range from 1
// to DefaultMaxIdle.
func (p *Pool) SetMaxIdle(idleLimit func(service string) int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleLimit = idleLimit
}

// maxIdle returns the limit of idle connections to a target of a service; the caller holds mu.
func (p *Pool) maxIdle(service string) int {
	if p.idleLimit == nil {
		return DefaultMaxIdle
	}
	return min(max(p.idleLimit(service), 1), DefaultMaxIdle)
}

// Get returns an idle connection to the target or a new one.
func (p *Pool) Get(ctx context.Context, t inventory.Target) (*Conn, error) {
	for {
		c := p.pop(t.ID)
		if c == nil {
			return p.dial(ctx, t)
		}
		if time.Now().Before(c.expires) && c.reusable() {
			return c, nil
		}
		_ = c.Close()
	}
}

func (p *Pool) pop(target string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[target]
	if len(cs) == 0 {
		return nil
	}
	last := cs[len(cs)-1]
	p.idle[target] = cs[:len(cs)-1]
	return last
}

func (p *Pool) dial(ctx context.Context, t inventory.Target) (*Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = DialTCP
	}
	c, err := dial(ctx, t.Address)
	if err != nil {
		return nil, err
	}
	if p.OnDial != nil {
		p.OnDial()
	}
	return newConn(c, t, p.Budget, p.Meter), nil
}

// Put returns a connection to the pool after a complete answer. idleTimeout is how long the target keeps an idle
// connection open, or 0 when it did not say.
func (p *Pool) Put(c *Conn, idleTimeout time.Duration) {
	if idleTimeout <= 0 {
		idleTimeout = DefaultIdleTimeout
	}
	c.Reused = true
	c.expires = time.Now().Add(idleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	if len(p.idle[c.target]) >= p.maxIdle(c.service) {
		_ = c.Close()
		return
	}
	p.idle[c.target] = append(p.idle[c.target], c)
}

// CloseIdle closes the idle connections to a target.
func (p *Pool) CloseIdle(target string) {
	p.mu.Lock()
	cs := p.idle[target]
	delete(p.idle, target)
	p.mu.Unlock()
	closeAll(cs)
}

// Sweep closes the idle connections that have expired and those to targets that are not known any more.
func (p *Pool) Sweep(now time.Time, known func(target string) bool) {
	p.mu.Lock()
	var closing []*Conn
	for id, cs := range p.idle {
		var retained []*Conn
		for _, c := range cs {
			if known(id) && now.Before(c.expires) {
				retained = append(retained, c)
			} else {
				closing = append(closing, c)
			}
		}
		p.idle[id] = retained
		if len(retained) == 0 {
			delete(p.idle, id)
		}
	}
	p.mu.Unlock()
	closeAll(closing)
}

// Len returns the number of idle connections.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, cs := range p.idle {
		n += len(cs)
	}
	return n
}

func closeAll(cs []*Conn) {
	for _, c := range cs {
		_ = c.Close()
	}
}
