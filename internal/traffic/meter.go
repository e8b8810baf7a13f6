package traffic

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// Kind is what bytes are.
type Kind string

// Kinds of bytes. A daemon counts what it sends to other daemons, and both ways what it exchanges with targets.
const (
	// Requests go to targets, Answers come from them: for a search its calls and its parts.
	Requests Kind = "requests"
	Answers  Kind = "answers"
	// Calls ask other daemons for shards, with grants and cancellations; Blocks are their merged replies.
	Calls  Kind = "calls"
	Blocks Kind = "blocks"
	// Pushes tell what changed in the published state, Copies all that a daemon lacks.
	Pushes Kind = "pushes"
	Copies Kind = "copies"
	// Gossip tells who lives; Hints tell of targets and requests in trouble.
	Gossip Kind = "gossip"
	Hints  Kind = "hints"
)

// Meter counts bytes; its zero value counts nothing.
type Meter struct {
	// Zone is the daemon's own availability zone.
	Zone string
	// Scope takes the counters "bytes" with the tags "kind" and "crosses".
	Scope tally.Scope

	mu       sync.Mutex
	counters map[series]tally.Counter
}

type series struct {
	kind    Kind
	crosses string
}

// Add counts n bytes to or from a zone; the zone of a seed that was not heard of is empty.
func (m *Meter) Add(kind Kind, zone string, n int) {
	if m == nil || m.Scope == nil {
		return
	}
	m.counter(series{kind: kind, crosses: m.crosses(zone)}).Inc(int64(n))
}

func (m *Meter) crosses(zone string) string {
	switch zone {
	case "":
		return "unknown"
	case m.Zone:
		return "no"
	default:
		return "yes"
	}
}

func (m *Meter) counter(s series) tally.Counter {
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.counters[s]
	if !ok {
		c = m.Scope.Tagged(map[string]string{"kind": string(s.kind), "crosses": s.crosses}).Counter("bytes")
		if m.counters == nil {
			m.counters = map[series]tally.Counter{}
		}
		m.counters[s] = c
	}
	return c
}
