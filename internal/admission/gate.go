package admission

import "sync"

// DefaultLimit is the default number of requests that one daemon may have in flight.
const DefaultLimit = 512

// minShare is the share of the limit that requests without worth may use.
const minShare = 0.5

// Gate counts the requests in flight; its zero value allows DefaultLimit.
type Gate struct {
	// Limit replaces DefaultLimit when it is above 0.
	Limit int

	mu       sync.Mutex
	inFlight int
}

// TryAcquire counts a request as in flight and reports true, unless the requests in flight already fill the share
// of the limit that is open to the request's worth.
func (g *Gate) TryAcquire(worth, maxWorth float64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if float64(g.inFlight) >= g.limitFor(worth, maxWorth) {
		return false
	}
	g.inFlight++
	return true
}

// Release counts a request as ended.
func (g *Gate) Release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.inFlight--
}

// InFlight returns the number of requests in flight.
func (g *Gate) InFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight
}

func (g *Gate) limitFor(worth, maxWorth float64) float64 {
	limit := float64(g.Limit)
	if g.Limit <= 0 {
		limit = DefaultLimit
	}
	return limit * Share(worth, maxWorth)
}

// Share returns the share of a limit, 0 to 1, that is open to a request of the given worth.
func Share(worth, maxWorth float64) float64 {
	if maxWorth <= 0 {
		return 1
	}
	return minShare + (1-minShare)*min(worth/maxWorth, 1)
}
