package inflight

import (
	"slices"
	"sync"
	"time"

	"go.uber.org/zap/zapcore"
)

// maxListed bounds how many requests one log line lists.
const maxListed = 20

// Register holds the requests in flight. Its zero value is ready to use.
type Register struct {
	mu       sync.Mutex
	next     uint64
	requests map[uint64]request
}

// request is one request in flight.
type request struct {
	id, route string
	since     time.Time
}

// Add registers a request and returns the function that removes it.
func (r *Register) Add(id, route string, since time.Time) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.requests == nil {
		r.requests = map[uint64]request{}
	}
	r.next++
	key := r.next
	r.requests[key] = request{id: id, route: route, since: since}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.requests, key)
	}
}

// Len returns the number of requests in flight.
func (r *Register) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.requests)
}

// MarshalLogArray lists the requests for the log, the oldest first, up to 20 of them.
func (r *Register) MarshalLogArray(out zapcore.ArrayEncoder) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]request, 0, len(r.requests))
	for _, q := range r.requests {
		list = append(list, q)
	}
	slices.SortFunc(list, func(a, b request) int { return a.since.Compare(b.since) })
	for _, q := range list[:min(len(list), maxListed)] {
		if err := out.AppendObject(q); err != nil {
			return err
		}
	}
	return nil
}

// MarshalLogObject writes the fields of a request to the log.
func (q request) MarshalLogObject(out zapcore.ObjectEncoder) error {
	out.AddString("request", q.id)
	out.AddString("route", q.route)
	out.AddInt64("ms", time.Since(q.since).Milliseconds())
	return nil
}
