package permit

import "time"

// Decision is the result of a request for one permit: Granted, Denied or NoIssuer.
type Decision interface{ decision() }

// Granted allows one send, or one request of an account, now.
type Granted struct {
	// Grant identifies a permit of an account, so that it can be returned. It is empty for targets.
	Grant Grant
}

// Denied allows nothing.
type Denied struct {
	// RetryAfter is when a permit is expected to be available.
	RetryAfter time.Duration
	// Issuer is the daemon that denied a permit of an account. It is empty for targets.
	Issuer string
}

// NoIssuer means that no daemon decided about a permit of an account: none is known, none replied in time, or those that
// replied do not issue its permits. It does not occur for targets.
type NoIssuer struct{}

func (Granted) decision()  {}
func (Denied) decision()   {}
func (NoIssuer) decision() {}

// Grant identifies one granted permit of an account.
type Grant struct {
	// Issuer granted the permit to Requester, whose request had this ID.
	Issuer, Requester string
	ID                uint64
}
