package timerlag

import (
	"sync"
	"time"
)

const (
	// quantile is the share of samples that are at most the estimate.
	quantile = 0.9
	// step scales how far one sample moves the estimate; about thirty samples above it raise it by 10 ms.
	step = 400 * time.Microsecond
	// maxEstimate bounds the estimate: answering even earlier would lose more partial results than late answers are
	// worth.
	maxEstimate = 15 * time.Millisecond
)

// Tracker keeps a running quantile of delays; its zero value estimates 0.
type Tracker struct {
	mu       sync.Mutex
	estimate time.Duration
}

// Observe adds a sample: how late a timer was handled.
func (t *Tracker) Observe(sample time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sample > t.estimate {
		t.estimate += time.Duration(quantile * float64(step))
	} else {
		t.estimate -= time.Duration((1 - quantile) * float64(step))
	}
	t.estimate = min(max(t.estimate, 0), maxEstimate)
}

// Estimate returns the lag that most timers do not exceed.
func (t *Tracker) Estimate() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimate
}
