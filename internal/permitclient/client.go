package permitclient

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/issuertable"
	"github.com/knapweedpoint/knapweedpoint/internal/permit"
	"github.com/knapweedpoint/knapweedpoint/internal/permitissuer"
	"github.com/knapweedpoint/knapweedpoint/internal/targetlimit"
)

const (
	// HastyTimeout is how long a request waits for a permit while another target could take it: a round trip between
	// availability zones and a scheduling pause of a small VM.
	HastyTimeout = 15 * time.Millisecond
	// PatientTimeout is how long a request waits for a permit that is its only chance.
	PatientTimeout = 60 * time.Millisecond
	// passOver is how long an issuer is passed over that did not reply in time.
	passOver = time.Second
	// retryAfterTimeout is when to try again after an issuer did not reply: the next request asks a fallback.
	retryAfterTimeout = 100 * time.Millisecond
	// retryWithoutIssuer is when to try again if no issuer is known or none replies.
	retryWithoutIssuer = 500 * time.Millisecond
	// maxDenial bounds how long a denial is remembered: the limit may rise meanwhile.
	maxDenial = 500 * time.Millisecond
	// maxPending bounds the requests in flight.
	maxPending = 4096
)

// Client obtains permits for one daemon. All exported fields except Scope are required. A nil Client requires no
// permits.
type Client struct {
	Name   string
	Limits *targetlimit.Register
	Table  *blackboard.Cell[issuertable.Table]
	Issuer *permitissuer.Issuer
	// Send sends a request to the named daemon.
	Send  func(name string, r *gossippb.PermitRequest)
	Scope tally.Scope

	mu      sync.Mutex
	nextID  uint64
	pending map[uint64]*request
	// deniedUntil holds, by target, when the next permit is expected.
	deniedUntil map[string]denial
	// passUntil holds, by issuer, until when it is passed over.
	passUntil map[string]time.Time
}

// request is a request for a permit that has no reply yet.
type request struct {
	target inventory.Target
	issuer string
	timer  *time.Timer
	done   func(permit.Decision)
}

// denial is the latest denial for a target; it holds for the limit at that time.
type denial struct {
	until     time.Time
	perSecond float64
}

// Required reports whether a send to the target needs a permit.
func (c *Client) Required(t inventory.Target) bool {
	return c != nil && c.Limits.Limit(t) > 0
}

// Denied returns how long no permit for the target is expected to be available, or 0 if one may be.
func (c *Client) Denied(t inventory.Target, now time.Time) time.Duration {
	if c == nil {
		return 0
	}
	limit := c.Limits.Limit(t)
	if limit == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	d, ok := c.deniedUntil[t.ID]
	if !ok || d.perSecond != limit {
		return 0
	}
	return max(d.until.Sub(now), 0)
}

// Acquire requests a permit for a send to the target. The decision is passed to done, once: before Acquire returns if
// this daemon issues the permits itself, otherwise when the issuer has replied or the timeout has passed.
func (c *Client) Acquire(t inventory.Target, timeout time.Duration, now time.Time, done func(permit.Decision)) {
	limit := c.Limits.Limit(t)
	issuer, ok := c.issuer(t, now)
	switch {
	case limit == 0:
		done(permit.Granted{})
	case !ok:
		done(permit.Denied{RetryAfter: retryWithoutIssuer})
	case issuer == c.Name:
		c.finish(t, c.Issuer.Issue(t, limit, now), now, done)
	default:
		c.request(t, issuer, timeout, done)
	}
}

// issuer returns the first issuer of the target that replied lately.
func (c *Client) issuer(t inventory.Target, now time.Time) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) >= maxPending {
		return "", false
	}
	for _, name := range c.Table.Get().Issuers(t.ID, t.AvailabilityZone) {
		if !now.Before(c.passUntil[name]) {
			return name, true
		}
	}
	return "", false
}

func (c *Client) request(t inventory.Target, issuer string, timeout time.Duration, done func(permit.Decision)) {
	c.mu.Lock()
	c.nextID++
	id := c.nextID
	if c.pending == nil {
		c.pending = map[uint64]*request{}
	}
	c.pending[id] = &request{target: t, issuer: issuer, done: done, timer: time.AfterFunc(timeout, func() { c.timeOut(id) })}
	c.mu.Unlock()
	c.Send(issuer, &gossippb.PermitRequest{Id: id, Target: t.ID})
}

// HandleReply completes the request that a reply answers. Replies to requests that have timed out are ignored.
func (c *Client) HandleReply(from string, m *gossippb.PermitReply) {
	now := time.Now()
	c.mu.Lock()
	delete(c.passUntil, from)
	r, ok := c.pending[m.GetId()]
	if !ok || r.issuer != from {
		c.mu.Unlock()
		return
	}
	delete(c.pending, m.GetId())
	c.mu.Unlock()
	r.timer.Stop()
	var d permit.Decision = permit.Granted{}
	if !m.GetGranted() {
		d = permit.Denied{RetryAfter: time.Duration(m.GetRetryMillis()) * time.Millisecond}
	}
	c.finish(r.target, d, now, r.done)
}

func (c *Client) timeOut(id uint64) {
	c.mu.Lock()
	r, ok := c.pending[id]
	if !ok {
		c.mu.Unlock()
		return
	}
	delete(c.pending, id)
	if c.passUntil == nil {
		c.passUntil = map[string]time.Time{}
	}
	c.passUntil[r.issuer] = time.Now().Add(passOver)
	c.mu.Unlock()
	c.count("permitsTimedOut")
	r.done(permit.Denied{RetryAfter: retryAfterTimeout})
}

// finish remembers a denial and passes the decision on.
func (c *Client) finish(t inventory.Target, d permit.Decision, now time.Time, done func(permit.Decision)) {
	switch x := d.(type) {
	case permit.Granted:
		c.count("permitsGranted")
	case permit.Denied:
		c.count("permitsDenied")
		c.mu.Lock()
		if c.deniedUntil == nil {
			c.deniedUntil = map[string]denial{}
		}
		c.deniedUntil[t.ID] = denial{until: now.Add(min(x.RetryAfter, maxDenial)), perSecond: c.Limits.Limit(t)}
		c.mu.Unlock()
	}
	done(d)
}

func (c *Client) count(name string) {
	if c.Scope != nil {
		c.Scope.Counter(name).Inc(1)
	}
}

// Retain removes what is remembered of targets that are not limited any more.
func (c *Client) Retain(limited func(target string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id := range c.deniedUntil {
		if !limited(id) {
			delete(c.deniedUntil, id)
		}
	}
}
