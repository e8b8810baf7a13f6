package crashguard

import "time"

// Loss is one target that was lost while it ran one attempt of a request.
type Loss struct {
	Fingerprint uint64
	Attempt     string
	Service     string
	// Target is empty if an older daemon told of the loss.
	Target string
}

// Record is a Loss with the time at which its call ended.
type Record struct {
	Loss
	At time.Time
	// Confirmed is set once the target has been seen to have ended.
	Confirmed bool
	// Silent is set if the call was given up before its connection broke. All such losses of an attempt at a service count
	// as one: its targets may be silent for another reason.
	Silent bool
	// FromPeer is set if a peer told of the call. It is not passed on.
	FromPeer bool
	// Answered is set once any service has answered the request.
	Answered bool
}
