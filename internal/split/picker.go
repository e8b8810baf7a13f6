package split

import (
	"slices"
	"sync"

	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
)

// maxRoutes bounds the number of routes whose state is retained.
const maxRoutes = 4096

// Picker distributes requests by smooth weighted round-robin, so that every sequence of requests is close to the
// weights. The zero value is ready to use.
type Picker struct {
	mu     sync.Mutex
	routes map[string]*rotation
}

type rotation struct {
	parts  []routetable.Weighted
	credit []float64
}

// Pick returns the service for the next request of a route, or an empty string when no part has a weight above 0.
func (p *Picker) Pick(route string, s routetable.Split) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.routes[route]
	if t == nil || !slices.Equal(t.parts, s.Parts) {
		t = &rotation{parts: s.Parts, credit: make([]float64, len(s.Parts))}
		if p.routes == nil || len(p.routes) >= maxRoutes {
			p.routes = map[string]*rotation{}
		}
		p.routes[route] = t
	}
	return t.next()
}

// next adds to the credit of each part its weight and selects the part with the highest credit.
func (t *rotation) next() string {
	total, best := 0.0, -1
	for i, p := range t.parts {
		if p.Weight <= 0 {
			continue
		}
		total += p.Weight
		t.credit[i] += p.Weight
		if best < 0 || t.credit[i] > t.credit[best] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	t.credit[best] -= total
	return t.parts[best].Service
}
