package targetcall

// RetryAfter is what a refusal states about how long its target wants no calls: RetryDelay or UnreadableDelay. It is
// nil when the answer states nothing.
type RetryAfter interface{ retryAfter() }

// RetryDelay is a delay in seconds, at least 0; it may be infinite.
type RetryDelay struct{ Seconds float64 }

// UnreadableDelay is a statement that holds something other than decimal numbers.
type UnreadableDelay struct{ Text string }

func (RetryDelay) retryAfter()      {}
func (UnreadableDelay) retryAfter() {}
