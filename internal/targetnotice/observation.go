package targetnotice

import "time"

// Observation is the effect of an answer on a register: Unchanged, LeavingBegun, LeavingRevoked, HoldBegun,
// HoldExtended, HoldEnded, Replaced or Rejected.
type Observation interface{ observation() }

// Unchanged means that the answer changes nothing.
type Unchanged struct{}

// LeavingBegun means that the target is now known to be leaving.
type LeavingBegun struct{}

// LeavingRevoked means that the store has called the target ready again for long enough.
type LeavingRevoked struct{}

// HoldBegun means that the target has asked for a hold and had asked for none.
type HoldBegun struct{ Until time.Time }

// HoldExtended means that a hold ends later than was known, or that it begins anew.
type HoldExtended struct{ Until time.Time }

// HoldEnded means that the target has answered again after its hold.
type HoldEnded struct{}

// Replaced means that another incarnation has answered, which the notices of the earlier one do not bind.
type Replaced struct{}

// Rejected means that the hold that the target asked for is unreadable and was ignored.
type Rejected struct{ Text string }

func (Unchanged) observation()      {}
func (LeavingBegun) observation()   {}
func (LeavingRevoked) observation() {}
func (HoldBegun) observation()      {}
func (HoldExtended) observation()   {}
func (HoldEnded) observation()      {}
func (Replaced) observation()       {}
func (Rejected) observation()       {}
