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
}

// WithReadAt returns the state with the start time of a later read. An earlier time has no effect.
func (s State) WithReadAt(at time.Time) State {
	if at.After(s.ReadAt) {
		s.ReadAt = at
	}
	return s
}

// Configured reports whether the copy holds a configuration.
func (s State) Configured() bool { return s.OperatorState.Table != nil }
