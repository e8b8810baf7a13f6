package targetlimit

// Usage counts one daemon's sends to a target with a rate limit.
type Usage struct {
	Target    string
	PerSecond float64
	// First counts the first sends of requests, Additional the hedges and retries.
	First, Additional int
}
