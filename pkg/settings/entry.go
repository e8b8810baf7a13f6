package settings

import (
	"time"

	"github.com/samber/lo"
)

// Defaults of an entry daemon's settings.
const (
	// DefaultCallerMargin is what an answer takes on its way to its caller.
	DefaultCallerMargin = 10 * time.Millisecond
	// DefaultGrace is how long a daemon that was told to stop may still run.
	DefaultGrace = 6 * time.Second
	// DefaultDrainBound is how soon a target that leaves must get no more work.
	DefaultDrainBound = 3 * time.Second
	// DefaultBudgetWindow is the window of the retry budget.
	DefaultBudgetWindow = 10 * time.Second
	// DefaultHoldersFrom is the product of daemons and shards from which on these have holders: 48 daemons that search 20
	// shards each know too little of a target, and 11 daemons that search 90 each work too long on one search.
	DefaultHoldersFrom = 960
	// DefaultHeartbeat is how often a target renews its entry.
	DefaultHeartbeat = time.Second
)

// Entry holds the settings of one entry daemon that takes its routes and targets from the platform's store.
type Entry struct {
	// Name is the VM's name.
	Name             string `json:"name"`
	AvailabilityZone string `json:"availabilityZone"`
	// Processor is the VM's share of a core; 0 when it is not known.
	Processor float64 `json:"processor,omitempty"`
	// Memory is the VM's memory in MiB; 0 when it is not known.
	Memory int `json:"memory,omitempty"`
	// Callers, Readiness, Peers and Metrics are the addresses to listen on; Gossip takes datagrams.
	Callers   string `json:"callers"`
	Readiness string `json:"readiness"`
	Peers     string `json:"peers"`
	Metrics   string `json:"metrics"`
	Gossip    string `json:"gossip"`
	// Seeds are the Peers addresses of some other daemons, which may be stale.
	Seeds []string `json:"seeds,omitempty"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// FirstStart is set when all daemons start for the first time.
	FirstStart bool `json:"firstStart,omitempty"`
	// HoldersFrom is the product of live daemons and a search's shards from which on these have holders.
	HoldersFrom int   `json:"holdersFrom,omitempty"`
	Rules       Rules `json:"rules"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"logLevel,omitempty"`
}

// Rules are the operators' bounds for all daemons together.
type Rules struct {
	// RetryRatio is the repeated sends allowed to a service for each request for it, RetrySlack those allowed besides
	// in any RetryWindow.
	RetryRatio  float64  `json:"retryRatio"`
	RetrySlack  float64  `json:"retrySlack"`
	RetryWindow Duration `json:"retryWindow"`
	// ColdOvershoot times a target's cold rate, and ColdSlack besides, are the requests a cold target may get in a second.
	ColdOvershoot float64 `json:"coldOvershoot"`
	ColdSlack     float64 `json:"coldSlack"`
	// DrainBound is how soon a target that leaves must get no more work.
	DrainBound Duration `json:"drainBound"`
	// Grace is how long a daemon that was told to stop may still run.
	Grace Duration `json:"grace"`
	// Heartbeat is how often a target renews its entry.
	Heartbeat Duration `json:"heartbeat"`
	// CallerMargin is what an answer takes on its way to its caller.
	CallerMargin Duration `json:"callerMargin,omitempty"`
}

// ParseEntry reads and validates the settings of an entry daemon.
func ParseEntry(data []byte) (Entry, []Problem) {
	var e Entry
	if problems := decode(data, &e, func(v *validator) { v.entry(e) }); len(problems) > 0 {
		return Entry{}, problems
	}
	return e.withDefaults(), nil
}

func (e Entry) withDefaults() Entry {
	e.HoldersFrom = lo.CoalesceOrEmpty(e.HoldersFrom, DefaultHoldersFrom)
	e.Rules.RetryWindow = Duration(e.Rules.RetryWindow.Or(DefaultBudgetWindow))
	e.Rules.DrainBound = Duration(e.Rules.DrainBound.Or(DefaultDrainBound))
	e.Rules.Grace = Duration(e.Rules.Grace.Or(DefaultGrace))
	e.Rules.CallerMargin = Duration(e.Rules.CallerMargin.Or(DefaultCallerMargin))
	e.Rules.Heartbeat = Duration(e.Rules.Heartbeat.Or(DefaultHeartbeat))
	return e
}

func (v *validator) entry(e Entry) {
	v.name("$.name", e.Name)
	v.name("$.availabilityZone", e.AvailabilityZone)
	v.positive("$.processor", e.Processor)
	v.positive("$.memory", float64(e.Memory))
	v.positive("$.holdersFrom", float64(e.HoldersFrom))
	v.address("$.callers", e.Callers)
	v.address("$.readiness", e.Readiness)
	v.address("$.peers", e.Peers)
	v.address("$.metrics", e.Metrics)
	v.address("$.gossip", e.Gossip)
	v.address("$.store", e.Store)
	v.oneOf("$.logLevel", e.LogLevel, "", "debug", "info", "warn", "error")
	v.share("$.rules.retryRatio", e.Rules.RetryRatio)
	v.positive("$.rules.retrySlack", e.Rules.RetrySlack)
	v.positive("$.rules.coldOvershoot", e.Rules.ColdOvershoot)
	v.positive("$.rules.coldSlack", e.Rules.ColdSlack)
	v.delay("$.rules.retryWindow", e.Rules.RetryWindow)
	v.delay("$.rules.drainBound", e.Rules.DrainBound)
	v.delay("$.rules.grace", e.Rules.Grace)
	v.delay("$.rules.heartbeat", e.Rules.Heartbeat)
	v.delay("$.rules.callerMargin", e.Rules.CallerMargin)
}

func (v *validator) positive(path string, x float64) {
	if x < 0 {
		v.add(path, "%g is below 0", x)
	}
}
