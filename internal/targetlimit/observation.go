package targetlimit

import "math"

// Observation is the effect of a statement on a register: Unchanged, Changed or Rejected.
type Observation interface{ observation() }

// Unchanged means that the statement confirms what was known, or is older.
type Unchanged struct{}

// Changed means that the target's limit is new, different or gone.
type Changed struct {
	Before, After Statement
}

// Notable reports whether the limit is new or gone, or has changed by at least the given share of what it was.
func (c Changed) Notable(share float64) bool {
	return !c.Before.Limited() || !c.After.Limited() ||
		math.Abs(c.After.PerSecond-c.Before.PerSecond) >= share*c.Before.PerSecond
}

// Rejected means that the statement is unreadable or implausible and was ignored.
type Rejected struct{ Text string }

func (Unchanged) observation() {}
func (Changed) observation()   {}
func (Rejected) observation()  {}
