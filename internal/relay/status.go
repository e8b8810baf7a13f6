package relay

import (
	"slices"
	"strings"
	"time"
)

// TargetStatus is the state of one target as its relay reports it.
type TargetStatus struct {
	Team         string `json:"team"`
	Target       string `json:"target"`
	Zone         string `json:"availabilityZone"`
	State        string `json:"state"`
	Incarnation  string `json:"incarnation"`
	InFlight     int    `json:"inFlight"`
	PeakInFlight int    `json:"peakInFlight"`
	Queued       int    `json:"queued"`
	Slots        int    `json:"slots"`
	TypicalUs    int64  `json:"typicalUs"`
	Leased       bool   `json:"leased"`
	// LeftOut is why the target is not sent to: ReasonLeaving, ReasonHoldsOff or empty.
	LeftOut string `json:"leftOut,omitempty"`
	// HoldMs is the time that remains of the target's hold.
	HoldMs int64 `json:"holdMs,omitempty"`
}

// Status returns the state of the relay's targets, sorted by name.
func (r *Relay) Status() []TargetStatus {
	now := time.Now()
	var out []TargetStatus
	for _, ts := range r.allTargets() {
		ts.mu.Lock()
		out = append(out, TargetStatus{
			Team: ts.team, Target: ts.target.Name, Zone: ts.target.AvailabilityZone,
			State: ts.ramp.StateLabel(now), Incarnation: ts.ramp.Incarnation(),
			InFlight: ts.inFlight, PeakInFlight: ts.peakInFlight, Queued: len(ts.queue), Slots: ts.service.Slots,
			TypicalUs: ts.ramp.Typical().Microseconds(),
			Leased:    !r.leases.HeldUntil(ts.target.Name, now).IsZero(),
			LeftOut:   ts.notices.blockedReason(now), HoldMs: ts.notices.holdWait(now).Milliseconds(),
		})
		ts.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b TargetStatus) int { return strings.Compare(a.Target, b.Target) })
	return out
}
