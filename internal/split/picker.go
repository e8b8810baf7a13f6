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

// rotation is the state of one route: its weighted services and the credit of each.
type rotation struct {
	services []routetable.Weighted
	credit   []float64
}

// Pick returns the service for the next request of a route, or an empty string when no service has a weight above 0.
func (p *Picker) Pick(route string, s routetable.Split) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.routes[route]
	if r == nil || !slices.Equal(r.services, s.WeightedServices) {
		r = &rotation{services: s.WeightedServices, credit: make([]float64, len(s.WeightedServices))}
		if p.routes == nil || len(p.routes) >= maxRoutes {
			p.routes = map[string]*rotation{}
		}
		p.routes[route] = r
	}
	return r.next()
}

// next adds to the credit of each service its weight and selects the service with the highest credit.
func (r *rotation) next() string {
	total, best := 0.0, -1
	for i, w := range r.services {
		if w.Weight <= 0 {
			continue
		}
		total += w.Weight
		r.credit[i] += w.Weight
		if best < 0 || r.credit[i] > r.credit[best] {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	r.credit[best] -= total
	return r.services[best].Service
}
