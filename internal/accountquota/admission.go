package accountquota

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/account"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/permit"
	"github.com/knapweedpoint/knapweedpoint/internal/permitclient"
	"github.com/knapweedpoint/knapweedpoint/internal/throttle"
)

const (
	// localShare is the share of the slack that all daemons together admit without a permit. The rest is for permits, and the
	// overshoot for the parts of a partitioned fleet.
	localShare = 0.5
	// wholeSurplus is the surplus from which on each daemon that has just started admits one request of an account though it was
	// denied. If the surplus is smaller, only some daemons do; the same holds for the request of a window without issuers once
	// a daemon must know the others. With 46 daemons that callers reach, an account at five times its quota then stays below the
	// bound when the whole fleet restarts, and when it is partitioned into four parts.
	wholeSurplus = 33
	// retryWithoutIssuer is when to try again if no issuer can be asked and this daemon's part of the surplus is used up:
	// other daemons still have theirs, and issuers are known soon.
	retryWithoutIssuer = 500 * time.Millisecond
	// maxNamed is the number of accounts whose metrics bear their names, those with the greatest rates. The others are added
	// up under otherAccounts.
	maxNamed      = 20
	otherAccounts = "other"
	// eventInterval is the minimum time between two events about one account.
	eventInterval = time.Second
)

// What decided about a refused request, in events.
const (
	byOwnIssuer = "ownIssuer"
	byPeer      = "peer"
	byNoIssuer  = "noIssuer"
)

// Admission checks the requests of accounts at one daemon. A nil Admission admits everything.
type Admission struct {
	// Name is the name of this daemon.
	Name    string
	Permits *permitclient.Client
	// Rules returns the rules in force.
	Rules func() permit.Rules
	// Known returns the number of daemons that this one knows, including itself.
	Known func() int
	// Log and Scope are optional.
	Log   *zap.Logger
	Scope tally.Scope

	events throttle.Limiter

	mu sync.Mutex
	// knownFrom is when this daemon must know the others.
	knownFrom time.Time
	named     map[string]bool
	states    map[string]*state
}

// state is what a daemon knows of one account.
type state struct {
	// local holds when requests were admitted without a permit, within the last window.
	local []time.Time
	// overruled is set once a denial was overruled, or was not by chance.
	overruled bool
	// refused counts the refusals since the last event.
	refused int
}

// SetStart sets from when on this daemon must know the others.
func (a *Admission) SetStart(knownFrom time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.knownFrom = knownFrom
}

// SetAccounts sets the accounts in force. The state of others is removed.
func (a *Admission) SetAccounts(t account.Table) {
	limited := t.Limited()
	names := lo.Map(limited, func(x account.Account, _ int) string { return x.Name })
	a.mu.Lock()
	defer a.mu.Unlock()
	a.named = lo.SliceToMap(names[:min(maxNamed, len(names))], func(n string) (string, bool) { return n, true })
	known := lo.SliceToMap(names, func(n string) (string, bool) { return n, true })
	a.states = lo.PickBy(a.states, func(n string, _ *state) bool { return known[n] })
}

// Admit decides about one request of an account, under the given version of the configuration. It waits for a permit for at
// most two timeouts of an issuer.
func (a *Admission) Admit(x account.Account, version uint64) Decision {
	if a == nil || !x.Quota.Limited() {
		return Admitted{}
	}
	rules := a.Rules()
	decided := make(chan permit.Decision, 1)
	a.Permits.AcquireForAccount(x, rules, time.Now(), func(d permit.Decision) { decided <- d })
	switch d := (<-decided).(type) {
	case permit.Granted:
		a.count(x.Name, "admitted")
		return Admitted{giveBack: func() {
			a.count(x.Name, "returned")
			a.Permits.Return(x, rules, d.Grant, time.Now())
		}}
	case permit.Denied:
		if a.mayOverrule(x, rules) {
			if admitted, ok := a.admitLocally(x, rules); ok {
				return admitted
			}
		}
		return a.refuse(x, version, lo.Ternary(d.Issuer == a.Name, byOwnIssuer, byPeer), d.RetryAfter)
	default:
		if admitted, ok := a.admitLocally(x, rules); ok {
			return admitted
		}
		return a.refuse(x, version, byNoIssuer, retryWithoutIssuer)
	}
}

// mayOverrule reports whether a request may be admitted from the surplus though it was denied. The issuers of a fleet that has
// just started issue a part, from nothing, and may not be the same for all daemons: until this daemon must know the others, it
// overrules one denial for each account. Where the surplus is small, only some of the daemons do.
func (a *Admission) mayOverrule(x account.Account, rules permit.Rules) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.state(x.Name)
	if s.overruled || !time.Now().Before(a.knownFrom) {
		return false
	}
	s.overruled = true
	return rand.Float64() < surplus(x, rules)/wholeSurplus
}

func surplus(x account.Account, rules permit.Rules) float64 {
	return permit.Account{Burst: x.Quota.Burst, Rules: rules}.Surplus(x.Quota.PerSecond)
}

// admitLocally admits a request from this daemon's part of the surplus: at most one request in a window, or its share of half
// the slack among the daemons that it knows if that is more.
func (a *Admission) admitLocally(x account.Account, rules permit.Rules) (Admitted, bool) {
	now := time.Now()
	surplus := surplus(x, rules)
	known := a.Known()
	a.mu.Lock()
	defer a.mu.Unlock()
	part, chance := 1.0, 1.0
	if !now.Before(a.knownFrom) {
		part = max(part, localShare*rules.Slack/float64(max(1, known)))
		chance = surplus / wholeSurplus
	}
	s := a.state(x.Name)
	s.local = slices.DeleteFunc(s.local, func(at time.Time) bool { return now.Sub(at) > rules.Window })
	if surplus < 1 || float64(len(s.local)+1) > part {
		return Admitted{}, false
	}
	s.local = append(s.local, now)
	if part == 1 && rand.Float64() >= chance {
		return Admitted{}, false
	}
	a.countLocked(x.Name, "withoutPermit")
	return Admitted{giveBack: func() { a.returnLocal(x.Name, now) }}, true
}

func (a *Admission) returnLocal(name string, at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.countLocked(name, "returned")
	s := a.state(name)
	if i := slices.Index(s.local, at); i >= 0 {
		s.local = slices.Delete(s.local, i, i+1)
	}
}

// refuse counts a refusal and logs the first one of each second.
func (a *Admission) refuse(x account.Account, version uint64, by string, retryAfter time.Duration) Decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.countLocked(x.Name, "refused")
	s := a.state(x.Name)
	s.refused++
	if a.allowEvent(x.Name) {
		events.QuotaRefused.Log(a.Log, zap.String("account", x.Name), zap.String("by", by), zap.Float64("perSecond", x.Quota.PerSecond),
			zap.Float64("burst", x.Quota.Burst), zap.Uint64("version", version), zap.Int("refused", s.refused),
			zap.Int64("retryMs", retryAfter.Milliseconds()))
		s.refused = 0
	}
	return OverQuota{RetryAfter: retryAfter}
}

func (a *Admission) allowEvent(name string) bool {
	a.events.Interval = eventInterval
	return a.events.Allow(name, time.Now())
}

// state returns the state of an account. The caller holds mu.
func (a *Admission) state(name string) *state {
	s := a.states[name]
	if s == nil {
		if a.states == nil {
			a.states = map[string]*state{}
		}
		s = &state{}
		a.states[name] = s
	}
	return s
}

func (a *Admission) count(name, outcome string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.countLocked(name, outcome)
}

// countLocked counts a request by outcome. The caller holds mu.
func (a *Admission) countLocked(name, outcome string) {
	if a.Scope == nil {
		return
	}
	if !a.named[name] {
		name = otherAccounts
	}
	a.Scope.Tagged(map[string]string{"account": name, "outcome": outcome}).Counter("accountRequests").Inc(1)
}
