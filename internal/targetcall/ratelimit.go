package targetcall

// RateLimit is what an answer states about the rate of requests that its target accepts from all daemons together:
// RequestRate or UnreadableRate. It is nil when the answer states nothing.
type RateLimit interface{ rateLimit() }

// RequestRate is a limit in requests per second; it may be implausible.
type RequestRate struct{ PerSecond float64 }

// UnreadableRate is a statement that is not a single decimal number.
type UnreadableRate struct{ Text string }

func (RequestRate) rateLimit()    {}
func (UnreadableRate) rateLimit() {}
