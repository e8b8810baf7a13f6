package targetnotice

import "time"

// State holds the notices of one incarnation of a target; its zero value holds none.
type State struct {
	// leavingSince is zero unless the target is leaving.
	leavingSince time.Time
	// holdUntil is the end of the hold; it is zero if there is none or the target has answered since its end.
	holdUntil time.Time
	// probedAt is the latest send after the end of the hold.
	probedAt time.Time
}

// HeldUntil returns a state with a hold that ends at the given time.
func HeldUntil(t time.Time) State { return State{holdUntil: t} }

// Standing returns whether the target may be sent to.
func (s *State) Standing(now time.Time) Standing {
	switch {
	case !s.leavingSince.IsZero():
		return Leaving{Since: s.leavingSince}
	case now.Before(s.holdUntil):
		return HoldingOff{Until: s.holdUntil}
	case !s.probedAt.IsZero() && now.Before(s.probedAt.Add(probeInterval)):
		return HoldingOff{Until: s.probedAt.Add(probeInterval)}
	default:
		return Free{}
	}
}

// Unanswered reports whether the target has asked for a hold and has not answered since its end.
func (s *State) Unanswered() bool { return !s.holdUntil.IsZero() }

// MarkLeaving records that the target is leaving.
func (s *State) MarkLeaving(now time.Time) Observation {
	if !s.leavingSince.IsZero() {
		return Unchanged{}
	}
	s.leavingSince = now
	return LeavingBegun{}
}

// Hold records that the target has asked for a hold. A hold that ends earlier than the present one changes nothing.
func (s *State) Hold(seconds float64, now time.Time) Observation {
	until := now.Add(time.Duration(min(seconds, maxHold.Seconds()) * float64(time.Second)))
	if !until.After(s.holdUntil) {
		return Unchanged{}
	}
	begun := s.holdUntil.IsZero()
	s.holdUntil, s.probedAt = until, time.Time{}
	if begun {
		return HoldBegun{Until: until}
	}
	return HoldExtended{Until: until}
}

// Answered ends the hold if it was over when the answered call started.
func (s *State) Answered(startedAt time.Time) Observation {
	if s.holdUntil.IsZero() || startedAt.Before(s.holdUntil) {
		return Unchanged{}
	}
	s.holdUntil, s.probedAt = time.Time{}, time.Time{}
	return HoldEnded{}
}

// CountSend counts a send as a probe if the target has not answered since its hold.
func (s *State) CountSend(now time.Time) {
	if s.Unanswered() {
		s.probedAt = now
	}
}

// Empty reports whether the state holds no notice.
func (s *State) Empty() bool { return s.leavingSince.IsZero() && s.holdUntil.IsZero() }
