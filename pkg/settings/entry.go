package settings

import (
	"time"

	"github.com/samber/lo"
)

// Defaults of the settings of an entry daemon.
const (
	// DefaultCallerMargin is the default of Rules.CallerMargin.
	DefaultCallerMargin = 10 * time.Millisecond
	// DefaultGrace is the default of Rules.Grace.
	DefaultGrace = 6 * time.Second
	// DefaultDrainBound is the default of Rules.DrainBound.
	DefaultDrainBound = 3 * time.Second
	// DefaultRetryWindow is the default of Rules.RetryWindow.
	DefaultRetryWindow = 10 * time.Second
	// DefaultQuotaWindow is the default of Rules.QuotaWindow.
	DefaultQuotaWindow = 5 * time.Second
	// DefaultHoldersFrom is the default of Entry.HoldersFrom. Aggregators are needed from about this product on: with 48
	// daemons that each query 20 shards, a daemon sees too few requests to know a target's state, and with 11 daemons that
	// each query 90 shards, a search takes a daemon too long.
	DefaultHoldersFrom = 960
	// DefaultHeartbeat is the default of Rules.Heartbeat.
	DefaultHeartbeat = time.Second
)

// Entry holds the settings of an entry daemon that reads its routes and targets from the platform's store.
type Entry struct {
	// Name is the VM's name.
	Name             string `json:"name"`
	AvailabilityZone string `json:"availabilityZone"`
	// Processor is the VM's CPU share in cores, or 0 when it is unknown.
	Processor float64 `json:"processor,omitempty"`
	// Memory is the VM's memory in MiB, or 0 when it is unknown.
	Memory int `json:"memory,omitempty"`
	// MaxConnections is the number of callers' connections that the daemon keeps open, or 0 for as many as its memory and
	// its descriptors allow.
	MaxConnections int `json:"maxConnections,omitempty"`
	// Callers, Readiness, Peers and Metrics are the TCP addresses to listen on. Gossip is the UDP address.
	Callers   string `json:"callers"`
	Readiness string `json:"readiness"`
	Peers     string `json:"peers"`
	Metrics   string `json:"metrics"`
	Gossip    string `json:"gossip"`
	// Seeds are the Peers addresses of some other daemons. Some of them may be stale.
	Seeds []string `json:"seeds,omitempty"`
	// Store is the address of the platform's store.
	Store string `json:"store"`
	// FirstStart is set when the whole fleet starts for the first time.
	FirstStart bool `json:"firstStart,omitempty"`
	// HoldersFrom is the least product of live daemons and shards of a search at which the shards are queried through
	// aggregators.
	HoldersFrom int      `json:"holdersFrom,omitempty"`
	Rules       Rules    `json:"rules"`
	Overload    Overload `json:"overload,omitzero"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"logLevel,omitempty"`
}

// Rules are the limits that the operators set for all daemons together.
type Rules struct {
	// RetryRatio and RetrySlack form the retry budget of a service: in any RetryWindow, all daemons together may make
	// RetryRatio additional sends per request to it, plus RetrySlack.
	RetryRatio  float64  `json:"retryRatio"`
	RetrySlack  float64  `json:"retrySlack"`
	RetryWindow Duration `json:"retryWindow"`
	// ColdOvershoot and ColdSlack limit the load on a cold target: per second, it may get ColdOvershoot times its cold rate
	// in requests, plus ColdSlack.
	ColdOvershoot float64 `json:"coldOvershoot"`
	ColdSlack     float64 `json:"coldSlack"`
	// DrainBound is the time within which daemons must stop sending requests to a target that is leaving service.
	DrainBound Duration `json:"drainBound"`
	// Grace is how long a daemon may still run after it was told to stop.
	Grace Duration `json:"grace"`
	// QuotaWindow, QuotaOvershoot and QuotaSlack bound the requests of an account with a quota: in any QuotaWindow, targets may
	// run the quota's rate times the window plus its burst, times one plus QuotaOvershoot, plus QuotaSlack.
	QuotaWindow    Duration `json:"quotaWindow,omitempty"`
	QuotaOvershoot float64  `json:"quotaOvershoot,omitempty"`
	QuotaSlack     float64  `json:"quotaSlack,omitempty"`
	// Heartbeat is the interval at which a target renews its store entry.
	Heartbeat Duration `json:"heartbeat"`
	// CallerMargin is the time an answer needs to reach its caller. It is part of the answer margin: the cutoff of a search
	// comes before its objective by that margin and the lag of the daemon, but by at most a third of the objective; a
	// request ends before the caller's deadline by that margin, but by at most half of the deadline.
	CallerMargin Duration `json:"callerMargin,omitempty"`
}

// Overload switches on what a daemon does when targets are slow or full. The zero value switches everything off.
type Overload struct {
	// LearnCapacity makes daemons learn how many calls each target takes well, and send no more than that.
	LearnCapacity bool `json:"learnCapacity,omitempty"`
	// QueueCalls makes calls wait in order of priority while all targets of their service are full.
	QueueCalls bool `json:"queueCalls,omitempty"`
	// RefuseLate makes daemons refuse requests at once that are expected to end after their deadline, and schedule the returns
	// of callers that are refused for lack of capacity.
	RefuseLate bool `json:"refuseLate,omitempty"`
	// OmitLateShards makes searches leave out the shards that would answer late, as far as the minimum coverage allows.
	OmitLateShards bool `json:"omitLateShards,omitempty"`
}

// ParseEntry parses and validates the settings of an entry daemon and fills in defaults.
func ParseEntry(data []byte) (Entry, []Problem) {
	var e Entry
	if problems := decode(data, &e, func(v *validator) { v.entry(e) }); len(problems) > 0 {
		return Entry{}, problems
	}
	return e.withDefaults(), nil
}

func (e Entry) withDefaults() Entry {
	e.HoldersFrom = lo.CoalesceOrEmpty(e.HoldersFrom, DefaultHoldersFrom)
	e.Rules.QuotaWindow = Duration(e.Rules.QuotaWindow.Or(DefaultQuotaWindow))
	e.Rules.RetryWindow = Duration(e.Rules.RetryWindow.Or(DefaultRetryWindow))
	e.Rules.DrainBound = Duration(e.Rules.DrainBound.Or(DefaultDrainBound))
	e.Rules.Grace = Duration(e.Rules.Grace.Or(DefaultGrace))
	e.Rules.CallerMargin = Duration(e.Rules.CallerMargin.Or(DefaultCallerMargin))
	e.Rules.Heartbeat = Duration(e.Rules.Heartbeat.Or(DefaultHeartbeat))
	return e
}

func (v *validator) entry(e Entry) {
	v.name("$.name", e.Name)
	v.name("$.availabilityZone", e.AvailabilityZone)
	v.nonNegative("$.processor", e.Processor)
	v.nonNegative("$.memory", float64(e.Memory))
	v.nonNegative("$.maxConnections", float64(e.MaxConnections))
	v.nonNegative("$.holdersFrom", float64(e.HoldersFrom))
	v.address("$.callers", e.Callers)
	v.address("$.readiness", e.Readiness)
	v.address("$.peers", e.Peers)
	v.address("$.metrics", e.Metrics)
	v.address("$.gossip", e.Gossip)
	v.address("$.store", e.Store)
	v.oneOf("$.logLevel", e.LogLevel, "", "debug", "info", "warn", "error")
	v.share("$.rules.retryRatio", e.Rules.RetryRatio)
	v.nonNegative("$.rules.retrySlack", e.Rules.RetrySlack)
	v.nonNegative("$.rules.coldOvershoot", e.Rules.ColdOvershoot)
	v.nonNegative("$.rules.coldSlack", e.Rules.ColdSlack)
	v.nonNegative("$.rules.quotaOvershoot", e.Rules.QuotaOvershoot)
	v.nonNegative("$.rules.quotaSlack", e.Rules.QuotaSlack)
	v.delay("$.rules.quotaWindow", e.Rules.QuotaWindow)
	v.delay("$.rules.retryWindow", e.Rules.RetryWindow)
	v.delay("$.rules.drainBound", e.Rules.DrainBound)
	v.delay("$.rules.grace", e.Rules.Grace)
	v.delay("$.rules.heartbeat", e.Rules.Heartbeat)
	v.delay("$.rules.callerMargin", e.Rules.CallerMargin)
}

func (v *validator) nonNegative(path string, x float64) {
	if x < 0 {
		v.add(path, "%g is below 0", x)
	}
}
