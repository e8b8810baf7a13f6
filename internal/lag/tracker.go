package lag

import (
	"sync"
	"time"
)

const (
	// quantile is the share of samples that the estimate covers.
	quantile = 0.9
	// step is how far one sample above the estimate moves it; some thirty samples cover a change of 10 ms.
	step = 400 * time.Microsecond
	// most bounds the estimate: an answer that is sent so early loses more parts than late ones are worth.
	most = 15 * time.Millisecond
)

// Tracker keeps a running quantile of delays; its zero value starts at 0.
type Tracker struct {
	mu       sync.Mutex
	estimate time.Duration
}

// Add takes in how late a timer was acted on.
func (t *Tracker) Add(late time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if late > t.estimate {
		t.estimate += time.Duration(quantile * float64(step))
	} else {
		t.estimate -= time.Duration((1 - quantile) * float64(step))
	}
	t.estimate = min(max(t.estimate, 0), most)
}

// Estimate returns the delay that most timers stay under.
func (t *Tracker) Estimate() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.estimate
}
