package platformstate

import (
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/operatorstate"
)

// State is a cached copy of the platform state. It is immutable, and its zero value is empty.
type State struct {
	Inventory     inventory.Inventory
	OperatorState operatorstate.State
	// ReadAt is the time as of which the copy is complete: the start of the store read that it comes from, on this
	// daemon's monotonic clock.
	ReadAt time.Time
	// ConfigurationRevision is the revision up to which no configuration newer than the copy's was published, as far as this
	// daemon knows. It is lower than the inventory's if peers sent later targets without their configuration.
	ConfigurationRevision uint64
	// ConfigurationReadAt is the time as of which the copy holds the latest configuration.
	ConfigurationReadAt time.Time
}

// WithReadAt returns the state with the start time of a later read. An earlier time has no effect.
func (s State) WithReadAt(at time.Time) State {
	if at.After(s.ReadAt) {
		s.ReadAt = at
	}
	return s
}

// WithConfigurationRead returns the state with the claim that no configuration newer than the copy's was published up to a
// revision, as of a time. Earlier revisions and times have no effect.
func (s State) WithConfigurationRead(revision uint64, at time.Time) State {
	s.ConfigurationRevision = max(s.ConfigurationRevision, revision)
	if at.After(s.ConfigurationReadAt) {
		s.ConfigurationReadAt = at
	}
	return s
}

// MayLackConfiguration reports whether a configuration may have been published between the revision up to which the copy's is
// known to be the latest and the revision of the inventory.
func (s State) MayLackConfiguration() bool { return s.ConfigurationRevision < s.Inventory.Revision }

// CompleteAt returns the time as of which both the inventory and the configuration are complete.
func (s State) CompleteAt() time.Time {
	if s.ConfigurationReadAt.Before(s.ReadAt) {
		return s.ConfigurationReadAt
	}
	return s.ReadAt
}

// Configured reports whether the copy holds a configuration.
func (s State) Configured() bool { return s.OperatorState.Table != nil }
