package permit

import "time"

// Decision is the result of a request for one send: Granted or Denied.
type Decision interface{ decision() }

// Granted allows one send, now.
type Granted struct{}

// Denied allows no send.
type Denied struct {
	// RetryAfter is when a permit is expected to be available.
	RetryAfter time.Duration
}

func (Granted) decision() {}
func (Denied) decision()  {}
