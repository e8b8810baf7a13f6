package blackboard

import (
	"github.com/knapweedpoint/knapweedpoint/internal/confirmation"
	"github.com/knapweedpoint/knapweedpoint/internal/membership"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// Board is the shared state of a daemon. All cells of its zero value are empty.
type Board struct {
	// Tree is the configuration in force.
	Tree Cell[settings.Tree]
	// View is the daemon's view of the fleet's VMs.
	View Cell[membership.View]
	// Confirmation states when Tree and View were last confirmed to be current.
	Confirmation Cell[confirmation.Confirmation]
	// Life is the lifecycle phase of the daemon. An empty cell means Starting.
	Life Cell[Life]
}

// Life is a lifecycle phase of a daemon: Starting, Serving or Draining.
type Life interface {
	phase() string
}

// Starting is the phase before the daemon serves requests.
type Starting struct{}

// Serving is the phase in which the daemon serves requests.
type Serving struct{}

// Draining is the phase after the daemon was told to stop.
type Draining struct{}

func (Starting) phase() string { return "starting" }
func (Serving) phase() string  { return "serving" }
func (Draining) phase() string { return "draining" }

// Phase returns the name of the daemon's lifecycle phase.
func (b *Board) Phase() string {
	l := b.Life.Get()
	if l == nil {
		return Starting{}.phase()
	}
	return (*l).phase()
}

// Drains reports whether the daemon is draining.
func (b *Board) Drains() bool {
	l := b.Life.Get()
	if l == nil {
		return false
	}
	_, draining := (*l).(Draining)
	return draining
}

// SetLife sets the daemon's lifecycle phase.
func (b *Board) SetLife(l Life) {
	b.Life.Set(&l)
}
