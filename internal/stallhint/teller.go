package stallhint

import (
	"sync"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/throttle"
)

const (
	// repeatInterval is the minimum time between two hints of one daemon on one target.
	repeatInterval = 30 * time.Millisecond
	// maxPerSecond bounds the hints that one daemon sends. Each is about 60 bytes and goes to every peer.
	maxPerSecond = 40
)

// Notifier sends hints at a bounded rate; only Tell has to be set.
type Notifier struct {
	// Broadcast sends a datagram to every peer.
	Broadcast func(d *gossippb.Datagram)

	limiter     throttle.Limiter
	mu          sync.Mutex
	secondStart time.Time
	count       int
}

// NotifyStalled notifies peers that a target has not answered a call within its hedge delay.
func (t *Notifier) NotifyStalled(target string, now time.Time) {
	if t.allow(target, now) {
		t.Broadcast(&gossippb.Datagram{Stalls: []*gossippb.Stall{{Target: target}}})
	}
}

func (t *Notifier) allow(target string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.secondStart) >= time.Second {
		t.secondStart, t.count = now, 0
	}
	t.limiter.Interval = repeatInterval
	if t.count >= maxPerSecond || !t.limiter.Allow(target, now) {
		return false
	}
	t.count++
	return true
}
