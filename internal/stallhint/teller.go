package stallhint

import (
	"sync"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/pace"
)

const (
	// repeat is the least time between two hints of one daemon on one target.
	repeat = 30 * time.Millisecond
	// maxPerSecond bounds one daemon's hints, each of some 60 bytes to every peer.
	maxPerSecond = 40
)

// Teller sends hints at a bounded rate; only Tell has to be set.
type Teller struct {
	// Tell sends a datagram to every peer.
	Tell func(d *gossippb.Datagram)

	pace   pace.Limiter
	mu     sync.Mutex
	second time.Time
	count  int
}

// Overdue tells peers that a target's answer is overdue.
func (t *Teller) Overdue(target string, now time.Time) {
	if t.due(target, now) {
		t.Tell(&gossippb.Datagram{Stalls: []*gossippb.Stall{{Target: target}}})
	}
}

func (t *Teller) due(target string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.second) >= time.Second {
		t.second, t.count = now, 0
	}
	t.pace.Every = repeat
	if t.count >= maxPerSecond || !t.pace.Due(target, now) {
		return false
	}
	t.count++
	return true
}
