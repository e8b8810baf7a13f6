package scatter

import (
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/forward"
)

// Direct is a Runner that queries the targets from this daemon.
type Direct struct{ Forwarder *forward.Forwarder }

// Start sends each job to its first target.
func (d Direct) Start(_ Search, jobs []forward.Job) Batch { return d.Forwarder.Start(jobs) }

// ExpectedLatency returns the expected latency of a new call for a shard of a search; false if it is unknown.
func (d Direct) ExpectedLatency(s Search, shard string) (time.Duration, bool) {
	return d.Forwarder.ExpectedLatency(s.Route, shard)
}

// Reachable reports whether any target of the service may receive work now.
func (d Direct) Reachable(service string) bool { return d.Forwarder.Reachable(service) }

// Live returns the number of targets of the service that may receive work now, without those in except.
func (d Direct) Live(service string, except []string) int { return d.Forwarder.Live(service, except) }

// HoldWait returns how long it takes until the first of a service's targets that have asked for a hold may receive
// work; false when there is none.
func (d Direct) HoldWait(service string) (time.Duration, bool) { return d.Forwarder.HoldWait(service) }
