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
	// Phase is the lifecycle phase of the daemon. An empty cell means Starting.
	Phase Cell[Phase]
}

// Phase is a lifecycle phase of a daemon: Starting, Serving or Draining.
type Phase interface {
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

// PhaseName returns the name of the daemon's lifecycle phase.
func (b *Board) PhaseName() string {
	p := b.Phase.Get()
	if p == nil {
		return Starting{}.phase()
	}
	return (*p).phase()
}

// IsDraining reports whether the daemon is draining.
func (b *Board) IsDraining() bool {
	return isDraining(b.Phase.Get())
}

// SetPhase sets the daemon's lifecycle phase, unless the daemon is draining: that is the last phase.
func (b *Board) SetPhase(p Phase) {
	b.Phase.Update(func(current *Phase) *Phase {
		if isDraining(current) {
			return current
		}
		return &p
	})
}

func isDraining(p *Phase) bool {
	if p == nil {
		return false
	}
	_, draining := (*p).(Draining)
	return draining
}
