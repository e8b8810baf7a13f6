package permit

import (
	"strings"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/account"
)

// accountPrefix distinguishes the IDs of accounts from those of targets, which contain no zero byte.
const accountPrefix = "account\x00"

// Resource is what permits are issued for. The zero value of Kind is not valid.
type Resource struct {
	// ID is unique among targets and accounts.
	ID string
	// Zone is the availability zone whose daemons are preferred as issuers; empty for accounts, which any daemon may serve.
	Zone string
	// PerSecond is the rate in permits per second; 0 means that no permit is needed.
	PerSecond float64
	Kind      Kind
}

// Kind is the kind of a resource: Target or Account.
type Kind interface{ kind() }

// Target is a target with a rate limit.
type Target struct{}

// Account is a client account with a quota.
type Account struct {
	Name  string
	Burst float64
	Rules Rules
}

func (Target) kind()  {}
func (Account) kind() {}

// Rules define the bound on the requests of an account with a quota: in any window, (rate × window + burst) ×
// (1 + Overshoot) + Slack.
type Rules struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// ForTarget returns the resource of a target with the given limit in requests per second.
func ForTarget(id, zone string, perSecond float64) Resource {
	return Resource{ID: id, Zone: zone, PerSecond: perSecond, Kind: Target{}}
}

// ForAccount returns the resource of an account.
func ForAccount(a account.Account, r Rules) Resource {
	return Resource{
		ID: accountPrefix + a.Name, PerSecond: a.Quota.PerSecond,
		Kind: Account{Name: a.Name, Burst: a.Quota.Burst, Rules: r},
	}
}

// AccountName returns the name of the account with the given resource ID; ok is false if the ID is that of a target.
func AccountName(id string) (name string, ok bool) { return strings.CutPrefix(id, accountPrefix) }

// Surplus returns how many more requests than the quota an account may run within a window.
func (a Account) Surplus(perSecond float64) float64 {
	return a.Rules.Overshoot*(perSecond*a.Rules.Window.Seconds()+a.Burst) + a.Rules.Slack
}
