package scatter

import "github.com/knapweedpoint/knapweedpoint/internal/forward"

// Direct is a Runner that queries the targets from this daemon.
type Direct struct{ Forwarder *forward.Forwarder }

// Start sends each job to its first target.
func (d Direct) Start(_ Search, jobs []forward.Job) Batch { return d.Forwarder.Start(jobs) }

// Reachable reports whether any target of the service may receive work now.
func (d Direct) Reachable(service string) bool { return d.Forwarder.Reachable(service) }
