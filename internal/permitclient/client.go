package permitclient

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/uber-go/tally/v4"

	"github.com/knapweedpoint/knapweedpoint/internal/account"
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
	// retryAfterTimeout is when to try again after an issuer did not reply: the next request asks another one.
	retryAfterTimeout = 100 * time.Millisecond
	// retryWithoutIssuer is when to try again if no issuer can be asked: none is known, none replies, or too many requests
	// are pending.
	retryWithoutIssuer = 500 * time.Millisecond
	// maxDenial bounds how long an issuer is not asked again: the limit may rise meanwhile.
	maxDenial = 500 * time.Millisecond
	// accountTimeout bounds how long a request of an account waits for issuers that do not reply: two of them. Objectives are
	// from 60 ms on.
	accountTimeout = 2 * HastyTimeout
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
	// denials holds each issuer's latest denial for each resource.
	denials map[denialKey]denial
	// passUntil holds, by issuer, until when it is passed over.
	passUntil map[string]time.Time
}

// request is a request for a permit that is not decided yet. It goes to one issuer after the other.
type request struct {
	// resource returns the resource with the limit in force; its ID and kind do not change.
	resource func() permit.Resource
	timeout  time.Duration
	// deadline is when issuers of an account are not asked any more.
	deadline time.Time
	done     func(permit.Decision)
	// asked holds the issuers that the request went to; the last one has not replied yet.
	asked []string
	timer *time.Timer
}

// issuer returns the issuer that has not replied yet.
func (r *request) issuer() string { return r.asked[len(r.asked)-1] }

// denialKey identifies the denials of one issuer for one target.
type denialKey struct{ resource, issuer string }

// denial is an issuer's latest denial for a resource; it holds for the limit at that time.
type denial struct {
	// until is how long the issuer is not asked again, and expected when its next permit is expected.
	until, expected time.Time
	perSecond       float64
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
	r := c.target(t)
	if r.PerSecond == 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shortestWait(r, c.issuers(r, now), now)
}

// target returns the resource of a target with the limit in force.
func (c *Client) target(t inventory.Target) permit.Resource {
	return permit.ForTarget(t.ID, t.AvailabilityZone, c.Limits.Limit(t))
}

// Acquire requests a permit for a send to the target. The decision is passed to done, once: before Acquire returns if
// no other daemon is asked, otherwise when the issuers have replied or the timeout of one of them has passed.
func (c *Client) Acquire(t inventory.Target, timeout time.Duration, now time.Time, done func(permit.Decision)) {
	c.ask(&request{resource: func() permit.Resource { return c.target(t) }, timeout: timeout, done: done}, now)
}

// AcquireForAccount requests a permit for one request of an account. The decision is passed to done, once, within
// accountTimeout. An issuer that does not reply is followed by the next one, and denials are final only if every issuer that
// replied has denied.
func (c *Client) AcquireForAccount(a account.Account, rules permit.Rules, now time.Time, done func(permit.Decision)) {
	resource := permit.ForAccount(a, rules)
	c.ask(&request{resource: func() permit.Resource { return resource }, timeout: HastyTimeout, deadline: now.Add(accountTimeout), done: done}, now)
}

// Return gives back a permit for a request of an account of which nothing has run.
func (c *Client) Return(a account.Account, rules permit.Rules, g permit.Grant, now time.Time) {
	if g.Issuer == c.Name {
		c.Issuer.Return(permit.ForAccount(a, rules), g, now)
		return
	}
	c.Send(g.Issuer, &gossippb.PermitRequest{Id: g.ID, Account: a.Name, Returned: true})
}

// ask passes a request on to the next issuer, or decides it if there is none.
func (c *Client) ask(r *request, now time.Time) {
	resource := r.resource()
	if resource.PerSecond == 0 {
		r.done(permit.Granted{})
		return
	}
	c.mu.Lock()
	issuers := c.issuers(resource, now)
	issuer, ok := c.next(r, resource, issuers, now)
	wait := c.shortestWait(resource, issuers, now)
	c.mu.Unlock()
	switch {
	case !ok:
		c.decide(r, c.without(resource, issuers, wait, now))
	case issuer == c.Name:
		c.mu.Lock()
		id := c.takeID()
		c.mu.Unlock()
		r.asked = append(r.asked, issuer)
		c.handleDecision(r, c.Issuer.Issue(resource, permit.Grant{Issuer: c.Name, Requester: c.Name, ID: id}, now), now)
	default:
		c.send(r, resource, issuer)
	}
}

// without returns the decision if no further issuer can be asked. wait is the shortest wait for those that could be.
func (c *Client) without(resource permit.Resource, issuers []string, wait time.Duration, now time.Time) permit.Decision {
	switch resource.Kind.(type) {
	case permit.Account:
		c.mu.Lock()
		defer c.mu.Unlock()
		denials := lo.FilterMap(issuers, func(name string, _ int) (permit.Denied, bool) {
			d := permit.Denied{RetryAfter: c.wait(resource, name, now), Issuer: name}
			return d, d.RetryAfter > 0
		})
		if len(denials) == 0 {
			return permit.NoIssuer{}
		}
		return lo.MinBy(denials, func(a, b permit.Denied) bool { return a.RetryAfter < b.RetryAfter })
	default:
		if wait > 0 {
			return permit.Denied{RetryAfter: wait}
		}
		return permit.Denied{RetryAfter: retryWithoutIssuer}
	}
}

// next returns the issuer to ask next: this daemon if it is one, otherwise the issuers take turns. It returns false if
// there is none, if too many requests are pending or if the time of a request of an account is up. The caller holds mu.
func (c *Client) next(r *request, resource permit.Resource, issuers []string, now time.Time) (string, bool) {
	open := lo.Filter(issuers, func(name string, _ int) bool {
		return !slices.Contains(r.asked, name) && c.wait(resource, name, now) == 0
	})
	switch {
	case len(open) == 0 || len(c.pending) >= maxPending || !r.deadline.IsZero() && !now.Before(r.deadline):
		return "", false
	case slices.Contains(open, c.Name):
		return c.Name, true
	default:
		return open[c.nextID%uint64(len(open))], true
	}
}

// issuers returns the main issuers of a resource. The fallback replaces one that has not replied lately. The caller holds
// mu.
func (c *Client) issuers(r permit.Resource, now time.Time) []string {
	table := c.Table.Get()
	replying := lo.Reject(table.Issuers(r.ID, r.Zone), func(name string, _ int) bool { return now.Before(c.passUntil[name]) })
	return replying[:min(table.MainIssuers(), len(replying))]
}

// shortestWait returns how long it takes until a permit is expected from one of the issuers. The caller holds mu.
func (c *Client) shortestWait(r permit.Resource, issuers []string, now time.Time) time.Duration {
	return lo.Min(lo.Map(issuers, func(name string, _ int) time.Duration { return c.wait(r, name, now) }))
}

// wait returns how long it takes until a permit is expected from an issuer, or 0 if it may be asked. The caller holds mu.
func (c *Client) wait(r permit.Resource, issuer string, now time.Time) time.Duration {
	d, ok := c.denials[denialKey{resource: r.ID, issuer: issuer}]
	if !ok || d.perSecond != r.PerSecond || !now.Before(d.until) {
		return 0
	}
	return d.expected.Sub(now)
}

// takeID returns the ID of a new request. The caller holds mu.
func (c *Client) takeID() uint64 {
	if c.pending == nil {
		c.pending = map[uint64]*request{}
		// A reply to a request of an earlier process must not be taken for one to a request of this process.
		c.nextID = rand.Uint64()
	}
	c.nextID++
	return c.nextID
}

func (c *Client) send(r *request, resource permit.Resource, issuer string) {
	c.mu.Lock()
	id := c.takeID()
	r.asked = append(r.asked, issuer)
	r.timer = time.AfterFunc(r.timeout, func() { c.timeOut(id) })
	c.pending[id] = r
	c.mu.Unlock()
	m := &gossippb.PermitRequest{Id: id}
	switch k := resource.Kind.(type) {
	case permit.Target:
		m.Target = resource.ID
	case permit.Account:
		m.Account = k.Name
	}
	c.Send(issuer, m)
}

// HandleReply handles the reply to a request. Replies to requests that have timed out are ignored.
func (c *Client) HandleReply(from string, m *gossippb.PermitReply) {
	c.mu.Lock()
	delete(c.passUntil, from)
	r, ok := c.pending[m.GetId()]
	if !ok || r.issuer() != from {
		c.mu.Unlock()
		return
	}
	delete(c.pending, m.GetId())
	r.timer.Stop()
	c.mu.Unlock()
	c.handleDecision(r, c.decode(r, from, m), time.Now())
}

// decode returns the decision in a reply.
func (c *Client) decode(r *request, from string, m *gossippb.PermitReply) permit.Decision {
	retryAfter := time.Duration(m.GetRetryMillis()) * time.Millisecond
	_, account := r.resource().Kind.(permit.Account)
	switch {
	case m.GetGranted() && account:
		return permit.Granted{Grant: permit.Grant{Issuer: from, Requester: c.Name, ID: m.GetId()}}
	case m.GetGranted():
		return permit.Granted{}
	case !account:
		return permit.Denied{RetryAfter: retryAfter}
	case retryAfter == 0:
		return permit.NoIssuer{}
	default:
		return permit.Denied{RetryAfter: retryAfter, Issuer: from}
	}
}

// handleDecision handles the decision of the issuer that a request went to. If it is not a grant, the next issuer is asked.
func (c *Client) handleDecision(r *request, d permit.Decision, now time.Time) {
	switch x := d.(type) {
	case permit.Granted:
		c.decide(r, x)
	case permit.Denied:
		resource := r.resource()
		c.mu.Lock()
		if c.denials == nil {
			c.denials = map[denialKey]denial{}
		}
		c.denials[denialKey{resource: resource.ID, issuer: r.issuer()}] = denial{
			until: now.Add(min(x.RetryAfter, maxDenial)), expected: now.Add(x.RetryAfter), perSecond: resource.PerSecond,
		}
		c.mu.Unlock()
		c.ask(r, now)
	case permit.NoIssuer:
		c.ask(r, now)
	}
}

func (c *Client) timeOut(id uint64) {
	now := time.Now()
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
	issuer := r.issuer()
	c.passUntil[issuer] = now.Add(passOver)
	c.mu.Unlock()
	c.count("permitsTimedOut")
	switch k := r.resource().Kind.(type) {
	case permit.Target:
		r.done(permit.Denied{RetryAfter: retryAfterTimeout})
	case permit.Account:
		// The issuer may have granted the permit, or may still do so.
		c.Send(issuer, &gossippb.PermitRequest{Id: id, Account: k.Name, Returned: true})
		c.ask(r, now)
	}
}

// decide passes the decision about a request on.
func (c *Client) decide(r *request, d permit.Decision) {
	switch d.(type) {
	case permit.Granted:
		c.count("permitsGranted")
	case permit.Denied:
		c.count("permitsDenied")
	case permit.NoIssuer:
		c.count("permitsWithoutIssuer")
	}
	r.done(d)
}

func (c *Client) count(name string) {
	if c.Scope != nil {
		c.Scope.Counter(name).Inc(1)
	}
}

// Retain removes what is remembered of resources that are not limited any more.
func (c *Client) Retain(limited func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range c.denials {
		if !limited(key.resource) {
			delete(c.denials, key)
		}
	}
}
