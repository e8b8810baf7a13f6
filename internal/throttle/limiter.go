package throttle

import (
	"sync"
	"time"
)

const (
	// DefaultInterval is the default minimum time between two actions for one key: two heartbeats of a target.
	DefaultInterval = 2500 * time.Millisecond
	// maxKeys bounds the memory of a limiter; when it is reached, all keys are removed.
	maxKeys = 4096
)

// Limiter records when an action last ran for each key; its zero value allows one action per key within
// DefaultInterval.
type Limiter struct {
	// Interval replaces DefaultInterval when it is above 0.
	Interval time.Duration

	mu   sync.Mutex
	last map[string]time.Time
}

// Allow reports whether the action for the key may run now, and if so records that it runs.
func (l *Limiter) Allow(key string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	interval := l.Interval
	if interval <= 0 {
		interval = DefaultInterval
	}
	if last, ok := l.last[key]; ok && now.Sub(last) < interval {
		return false
	}
	if l.last == nil || len(l.last) >= maxKeys {
		l.last = map[string]time.Time{}
	}
	l.last[key] = now
	return true
}
