package stallhint

import (
	"sync"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
)

const (
	// repeat is the least time between two hints of one daemon on one target.
	repeat = 30 * time.Millisecond
	// maxPerSecond bounds one daemon's hints, each of some 60 bytes to every peer.
	maxPerSecond = 40
	// maxTargets bounds the memory of what was told last.
	maxTargets = 4096
)

// Teller sends hints at a bounded rate; only Tell has to be set.
type Teller struct {
	// Tell sends a datagram to every peer.
	Tell func(d *gossippb.Datagram)

	mu     sync.Mutex
	told   map[string]time.Time
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
	if last, ok := t.told[target]; ok && now.Sub(last) < repeat || t.count >= maxPerSecond {
		return false
	}
	if t.told == nil || len(t.told) >= maxTargets {
		t.told = map[string]time.Time{}
	}
	t.told[target] = now
	t.count++
	return true
}
