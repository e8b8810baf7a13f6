package targetlimit

import "time"

const (
	// minPerSecond and maxPerSecond bound the plausible limits. A lower one would stop a target, and a higher one is
	// more than a target can take.
	minPerSecond = 0.01
	maxPerSecond = 1e5
)

// Statement is what one incarnation of a target stated about its rate limit; it is immutable.
type Statement struct {
	Target string
	// StartMillis is when the incarnation started, in Unix milliseconds, or 0 if that is unknown.
	StartMillis int64
	// PerSecond is the limit in requests per second for all daemons together, or 0 if the target has none.
	PerSecond float64
	// ObservedAt is when the answer with the statement arrived, on the clock of this daemon.
	ObservedAt time.Time
}

// Limited reports whether the target has a limit.
func (s Statement) Limited() bool { return s.PerSecond > 0 }

// Valid reports whether the limit is plausible or the statement says that there is none.
func (s Statement) Valid() bool {
	return s.PerSecond == 0 || s.PerSecond >= minPerSecond && s.PerSecond <= maxPerSecond
}

// WithObservedAt returns the statement with another time of observation.
func (s Statement) WithObservedAt(at time.Time) Statement {
	s.ObservedAt = at
	return s
}

// supersedes reports whether s replaces o, a statement of the same target.
func (s Statement) supersedes(o Statement) bool {
	if s.StartMillis != o.StartMillis {
		return s.StartMillis > o.StartMillis
	}
	return s.ObservedAt.After(o.ObservedAt)
}
