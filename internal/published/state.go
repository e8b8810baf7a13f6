package published

import (
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/orders"
)

// State is a cached copy of the platform state. It is immutable, and its zero value is empty.
type State struct {
	Inventory inventory.Inventory
	Orders    orders.Orders
	// FreshAt is the time as of which the copy is complete: the start of the store read that it comes from, on this
	// daemon's monotonic clock.
	FreshAt time.Time
}

// WithFreshAt returns the state with the start time of a later read. An earlier time has no effect.
func (s State) WithFreshAt(at time.Time) State {
	if at.After(s.FreshAt) {
		s.FreshAt = at
	}
	return s
}

// Configured reports whether the copy holds a configuration.
func (s State) Configured() bool { return s.Orders.Table != nil }
