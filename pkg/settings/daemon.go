package settings

import (
	"fmt"
	"net"
	"time"
)

// Defaults and limits of the settings of a single daemon.
const (
	DefaultInFlightLimit = 512
	DefaultBookingMargin = 90 * time.Second
	DefaultBalancerDelay = 2 * time.Second
	DefaultDrainLimit    = 30 * time.Second

	MaxInFlightLimit = 100_000
	MaxDelay         = 10 * time.Minute
)

// Daemon holds the settings of a single daemon. All fields except the names and addresses are optional.
type Daemon struct {
	// Name is the VM's name on the platform's list.
	Name             string `json:"name"`
	AvailabilityZone string `json:"availabilityZone"`
	Region           string `json:"region,omitempty"`
	// Callers, Peers and Operators are the addresses to listen on, each an IP address and a port.
	Callers   string `json:"callers"`
	Peers     string `json:"peers"`
	Operators string `json:"operators"`
	// Platform is the address of the platform's services.
	Platform string `json:"platform"`
	// Policy is "relayed", "direct" or "plain".
	Policy string `json:"policy,omitempty"`
	// InFlightLimit is the maximum number of callers' requests in flight.
	InFlightLimit int `json:"inFlightLimit,omitempty"`
	// BookingMargin is the longest time for which the VM lists of two daemons are assumed to differ.
	BookingMargin Duration `json:"bookingMargin,omitempty"`
	// BalancerDelay is how long a daemon still accepts requests after it was told to stop, so that the load balancer can notice
	// that it is not ready.
	BalancerDelay Duration `json:"balancerDelay,omitempty"`
	// DrainLimit is how long a stopping daemon waits for requests in flight before it exits regardless.
	DrainLimit Duration `json:"drainLimit,omitempty"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel string `json:"logLevel,omitempty"`
	// Seed makes the daemon's random choices reproducible. With 0, the seed is derived from the daemon's name and start time.
	Seed uint64 `json:"seed,omitempty"`
}

// ParseDaemon parses and validates the settings of a single daemon and fills in defaults.
func ParseDaemon(data []byte) (Daemon, []Problem) {
	var d Daemon
	if problems := decode(data, &d, func(v *validator) { v.daemon(d) }); len(problems) > 0 {
		return Daemon{}, problems
	}
	return d.withDefaults(), nil
}

func (d Daemon) withDefaults() Daemon {
	if d.InFlightLimit == 0 {
		d.InFlightLimit = DefaultInFlightLimit
	}
	d.BookingMargin = Duration(d.BookingMargin.Or(DefaultBookingMargin))
	d.BalancerDelay = Duration(d.BalancerDelay.Or(DefaultBalancerDelay))
	d.DrainLimit = Duration(d.DrainLimit.Or(DefaultDrainLimit))
	return d
}

func (v *validator) daemon(d Daemon) {
	v.name("$.name", d.Name)
	v.name("$.availabilityZone", d.AvailabilityZone)
	v.address("$.callers", d.Callers)
	v.address("$.peers", d.Peers)
	v.address("$.operators", d.Operators)
	v.address("$.platform", d.Platform)
	v.oneOf("$.policy", d.Policy, "", "relayed", "direct", "plain")
	v.oneOf("$.logLevel", d.LogLevel, "", "debug", "info", "warn", "error")
	v.between("$.inFlightLimit", d.InFlightLimit, 0, MaxInFlightLimit)
	v.delay("$.bookingMargin", d.BookingMargin)
	v.delay("$.balancerDelay", d.BalancerDelay)
	v.delay("$.drainLimit", d.DrainLimit)
}

func (v *validator) address(path, address string) {
	if host, _, err := net.SplitHostPort(address); err != nil || net.ParseIP(host) == nil {
		v.add(path, "%q is not an IP address and port", address)
	}
}

func (v *validator) oneOf(path, value string, allowed ...string) {
	for _, a := range allowed {
		if a == value {
			return
		}
	}
	v.add(path, "%q is none of %s", value, fmt.Sprintf("%q", allowed[1:]))
}

func (v *validator) delay(path string, d Duration) {
	if d < 0 || d.Std() > MaxDelay {
		v.add(path, "%s is outside 0 to %s", d.Std(), MaxDelay)
	}
}
