package published

import (
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/orders"
)

// State is one copy; it is immutable and its zero value knows nothing.
type State struct {
	Inventory inventory.Inventory
	Orders    orders.Orders
	// FreshAt is when the read began that the copy comes from, by this daemon's steady clock.
	FreshAt time.Time
}

// WithFreshAt returns the state as of a later read; an earlier time changes nothing.
func (s State) WithFreshAt(at time.Time) State {
	if at.After(s.FreshAt) {
		s.FreshAt = at
	}
	return s
}

// Configured reports whether the copy holds a configuration.
func (s State) Configured() bool { return s.Orders.Table != nil }
