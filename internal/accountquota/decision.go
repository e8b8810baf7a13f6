package accountquota

import "time"

// Decision is the result of the check of one request: Admitted or OverQuota.
type Decision interface{ decision() }

// Admitted means that the request may run.
type Admitted struct{ giveBack func() }

// GiveBack returns the quota that the request used. It may be called once, if nothing of the request has run or will run.
func (a Admitted) GiveBack() {
	if a.giveBack != nil {
		a.giveBack()
	}
}

// OverQuota means that the request must be refused.
type OverQuota struct {
	// RetryAfter is when a request of the account is expected to be admitted.
	RetryAfter time.Duration
}

func (Admitted) decision()  {}
func (OverQuota) decision() {}
