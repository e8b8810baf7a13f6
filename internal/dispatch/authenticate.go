package dispatch

import (
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/account"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

// Reasons of Unauthorized.
const (
	ReasonMissingKey   = "missingKey"
	ReasonMalformedKey = "malformedKey"
	ReasonRepeatedKey  = "repeatedKey"
	ReasonUnknownKey   = "unknownKey"
	ReasonRevokedKey   = forward.ReasonRevoked
)

// Outcomes of authentications that are not refused, as they appear in metrics.
const (
	outcomeAccepted = "accepted"
	outcomePublic   = "public"
)

// refusalLogInterval is the least time between two log lines about refusals on one route.
const refusalLogInterval = time.Second

// authenticate sets the account of a request in its entry, in the request to targets, and as the priority in the request's copy
// of the route. It returns false if the request is refused.
func (d *Dispatcher) authenticate(entry *requestLog) (Unauthorized, bool) {
	table := entry.state.OperatorState.Table
	if table.Accounts().Len() == 0 {
		entry.request.Request = entry.request.withIdentity()
		return Unauthorized{}, true
	}
	if entry.route.Public {
		d.countAuthentication(outcomePublic)
		return Unauthorized{}, true
	}
	var key account.KeyHash
	switch c := entry.request.Credential.(type) {
	case nil, account.Missing:
		return d.refuse(*entry, entry.state, ReasonMissingKey), false
	case account.Malformed:
		return d.refuse(*entry, entry.state, ReasonMalformedKey), false
	case account.Repeated:
		return d.refuse(*entry, entry.state, ReasonRepeatedKey), false
	case account.KeyHash:
		key = c
	default:
		panic("dispatch: unknown credential")
	}
	found, ok := table.Accounts().FindByHash(key)
	if !ok {
		return d.refuse(*entry, entry.state, ReasonUnknownKey), false
	}
	d.countAuthentication(outcomeAccepted)
	entry.account = found
	entry.request.Request.Account = found.Name
	entry.route.Priority = found.PriorityOr(entry.route.Priority)
	entry.revoked = func() bool { return d.revoked(key, table) }
	return Unauthorized{}, true
}

// revoked reports whether a key that the given table holds is unknown to the current one. Without accounts, no key is needed.
func (d *Dispatcher) revoked(key account.KeyHash, used *routetable.Table) bool {
	current := d.State().OperatorState.Table
	if current == used || current.Accounts().Len() == 0 {
		return false
	}
	_, known := current.Accounts().FindByHash(key)
	return !known
}

// refuse counts and logs the refusal of a request. The state is the one that decided.
func (d *Dispatcher) refuse(entry requestLog, state platformstate.State, reason string) Unauthorized {
	d.countAuthentication(reason)
	now := time.Now()
	if n, due := d.refusals.add(entry.route.Name, now); due {
		events.CallerRefused.Log(d.Log, zap.String("route", entry.route.Name), zap.String("request", entry.request.Request.ID),
			zap.String("reason", reason), zap.Int("refusals", n), zap.Uint64("version", state.OperatorState.Version()),
			zap.Int64("ageMs", now.Sub(state.ConfigurationReadAt).Milliseconds()))
	}
	return Unauthorized{Reason: reason}
}

func (d *Dispatcher) countAuthentication(outcome string) {
	if d.Scope != nil {
		d.Scope.Tagged(map[string]string{"outcome": outcome}).Counter("authentications").Inc(1)
	}
}

// withIdentity returns the request with the headers that tell who the caller is.
func (r CallerRequest) withIdentity() targetcall.Request {
	out := r.Request
	if len(r.IdentityHeader) > 0 {
		out.Header = maps.Clone(out.Header)
		maps.Copy(out.Header, r.IdentityHeader)
	}
	return out
}

// refusalLog limits the log lines about refusals for each route. The routes come from configurations, which bounds their number.
type refusalLog struct {
	mu     sync.Mutex
	routes map[string]*routeRefusals
}

type routeRefusals struct {
	loggedAt time.Time
	// unlogged counts the refusals since then.
	unlogged int
}

// add counts a refusal on a route. If a log line is due, it returns the number of refusals since the last one.
func (l *refusalLog) add(route string, now time.Time) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.routes == nil {
		l.routes = map[string]*routeRefusals{}
	}
	r, ok := l.routes[route]
	if !ok {
		r = &routeRefusals{}
		l.routes[route] = r
	}
	r.unlogged++
	if ok && now.Sub(r.loggedAt) < refusalLogInterval {
		return 0, false
	}
	n := r.unlogged
	r.loggedAt, r.unlogged = now, 0
	return n, true
}
