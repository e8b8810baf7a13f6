package routetable

import "time"

// Route defines how requests with a host and path prefix are handled. It is immutable.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is set if requests are idempotent and may run more than once.
	Idempotent bool
	// Attempts is the maximum number of targets of a service that one request may run on.
	Attempts int
	// Timeout is the maximum duration of a request.
	Timeout time.Duration
	// Objective is the latency objective: an answer within this time has its full worth.
	Objective time.Duration
	// Priority is the priority among routes; 0 is the highest.
	Priority int
	// Public is set if callers need no account.
	Public      bool
	Destination Destination
}

// Destination is the set of services that handle a route: Single, Split or Scatter.
type Destination interface {
	// Services returns the names of the services.
	Services() []string
}

// Single sends every request to one service.
type Single struct{ Service string }

// Split distributes requests over services in proportion to their weights.
type Split struct{ WeightedServices []Weighted }

// Weighted is one service of a Split.
type Weighted struct {
	Service string
	Weight  float64
}

// Scatter sends every request to all services, its shards, and merges the greatest records of their parts.
type Scatter struct {
	Shards []string
	// TopK is the maximum number of records in an answer.
	TopK int
	// MinCoverage is the minimum share of shards, from 0 to 1, that an answer must cover.
	MinCoverage float64
}

// Services returns the one service.
func (d Single) Services() []string { return []string{d.Service} }

// Services returns the names of the weighted services, in their order.
func (d Split) Services() []string {
	names := make([]string, len(d.WeightedServices))
	for i, w := range d.WeightedServices {
		names[i] = w.Service
	}
	return names
}

// Services returns the shards, in their order.
func (d Scatter) Services() []string { return d.Shards }

// Service is the configuration of one service.
type Service struct {
	Name string
	// MaxConnections is the maximum number of connections that one target accepts from all daemons together.
	MaxConnections int
	// ColdRate is the rate in requests per second that a cold target can take.
	ColdRate float64
}

// Limits are the limits for requests of callers, in bytes and time. Zero means no limit.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
