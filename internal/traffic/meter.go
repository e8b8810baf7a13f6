package traffic

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// Kind is the kind of traffic.
type Kind string

// Kinds of traffic. For messages to other daemons only sent bytes are counted; for targets both directions are
// counted.
const (
	// Requests are sent to targets and Answers received from them. For a search these are its target calls and their
	// parts.
	Requests Kind = "requests"
	Answers  Kind = "answers"
	// Calls are queries to aggregators, including grants and cancellations. Blocks are the merged replies of
	// aggregators.
	Calls  Kind = "calls"
	Blocks Kind = "blocks"
	// Pushes are updates of the published state. Copies are full copies of the state that a daemon lacks.
	Pushes Kind = "pushes"
	Copies Kind = "copies"
	// Gossip is membership traffic. Hints report stalled targets and requests that may crash their targets.
	Gossip Kind = "gossip"
	Hints  Kind = "hints"
)

// Meter counts bytes; the zero value counts nothing.
type Meter struct {
	// Zone is the availability zone of this daemon.
	Zone string
	// Scope receives the counter "bytes" with the tags "kind" and "crosses".
	Scope tally.Scope

	mu       sync.Mutex
	counters map[series]tally.Counter
}

type series struct {
	kind    Kind
	crosses string
}

// Add counts n bytes to or from a zone. The zone is empty for a seed that has not been seen yet.
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
