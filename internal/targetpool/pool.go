package targetpool

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/intake"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/traffic"
)

// Defaults of a Pool.
const (
	// DefaultIdle is how long a connection is kept when the target names no time; targets close after tens of seconds.
	DefaultIdle = 10 * time.Second
	// DefaultKept is how many idle connections are kept to one target at most: twice its usual slots.
	DefaultKept = 4
	// DialTimeout bounds connection set-up: a target takes 6 ms, a paused one up to 200 ms.
	DialTimeout = 400 * time.Millisecond
)

// Pool keeps idle connections by target; its zero value dials TCP.
type Pool struct {
	// Dial replaces the TCP dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Dialed is called with each new connection, if set.
	Dialed func()
	// Budget is drawn on for long answers; nil has no bound.
	Budget *intake.Budget
	// Meter counts the bytes of all connections; nil counts none.
	Meter *traffic.Meter

	mu   sync.Mutex
	idle map[string][]*Conn
	kept func(service string) int
}

// SetKept replaces how many idle connections are kept to a target of a service; at least one and at most DefaultKept are.
func (p *Pool) SetKept(kept func(service string) int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.kept = kept
}

// keeps returns how many idle connections are kept to a target of a service; the caller holds mu.
func (p *Pool) keeps(service string) int {
	if p.kept == nil {
		return DefaultKept
	}
	return min(max(p.kept(service), 1), DefaultKept)
}

// Take returns an idle connection to the target or a new one.
func (p *Pool) Take(ctx context.Context, t inventory.Target) (*Conn, error) {
	for {
		c := p.pop(t.ID)
		if c == nil {
			return p.dial(ctx, t)
		}
		if time.Now().Before(c.until) && c.quiet() {
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
	if p.Dialed != nil {
		p.Dialed()
	}
	return newConn(c, t, p.Budget, p.Meter), nil
}

// Give takes a connection back after a whole answer; idle is how long the target keeps it, 0 when it did not say.
func (p *Pool) Give(c *Conn, idle time.Duration) {
	if idle <= 0 {
		idle = DefaultIdle
	}
	c.Reused = true
	c.until = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*Conn{}
	}
	if len(p.idle[c.target]) >= p.keeps(c.service) {
		_ = c.Close()
		return
	}
	p.idle[c.target] = append(p.idle[c.target], c)
}

// Forget closes the idle connections to a target.
func (p *Pool) Forget(target string) {
	p.mu.Lock()
	cs := p.idle[target]
	delete(p.idle, target)
	p.mu.Unlock()
	closeAll(cs)
}

// Sweep closes the connections that were idle for too long and those to targets that are not known any more.
func (p *Pool) Sweep(now time.Time, known func(target string) bool) {
	p.mu.Lock()
	var over []*Conn
	for id, cs := range p.idle {
		var kept []*Conn
		for _, c := range cs {
			if known(id) && now.Before(c.until) {
				kept = append(kept, c)
			} else {
				over = append(over, c)
			}
		}
		p.idle[id] = kept
		if len(kept) == 0 {
			delete(p.idle, id)
		}
	}
	p.mu.Unlock()
	closeAll(over)
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
