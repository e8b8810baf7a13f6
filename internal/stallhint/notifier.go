package stallhint

import (
	"sync"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/throttle"
)

const (
	// repeatInterval is the minimum time between two hints of one daemon about one target.
	repeatInterval = 30 * time.Millisecond
	// maxPerSecond bounds the hints that one daemon sends. Each is about 60 bytes and goes to every peer.
	maxPerSecond = 40
)

// Notifier sends hints at a bounded rate; only Broadcast has to be set.
type Notifier struct {
	// Broadcast sends a datagram to every peer.
	Broadcast func(d *gossippb.Datagram)

	limiter     throttle.Limiter
	mu          sync.Mutex
	secondStart time.Time
	count       int
}

// NotifyStalled notifies peers that a target has not answered a call within the call's hedge delay.
func (n *Notifier) NotifyStalled(target string, now time.Time) {
	if n.allow(target, now) {
		n.Broadcast(&gossippb.Datagram{Stalls: []*gossippb.Stall{{Target: target}}})
	}
}

func (n *Notifier) allow(target string, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.secondStart) >= time.Second {
		n.secondStart, n.count = now, 0
	}
	n.limiter.Interval = repeatInterval
	if n.count >= maxPerSecond || !n.limiter.Allow(target, now) {
		return false
	}
	n.count++
	return true
}
