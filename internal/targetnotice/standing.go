package targetnotice

import "time"

// Standing is whether a target may be sent to as far as its notices go: Free, Leaving or HoldingOff.
type Standing interface{ standing() }

// Free means that nothing is known that keeps the target from being sent to.
type Free struct{}

// Leaving means that the target is shutting down and gets nothing any more.
type Leaving struct{ Since time.Time }

// HoldingOff means that the target gets nothing until a time.
type HoldingOff struct{ Until time.Time }

func (Free) standing()       {}
func (Leaving) standing()    {}
func (HoldingOff) standing() {}
