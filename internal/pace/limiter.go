package pace

import (
	"sync"
	"time"
)

const (
	// DefaultEvery is the least time between two doings for one key: two heartbeats of a target.
	DefaultEvery = 2500 * time.Millisecond
	// maxKeys bounds the memory of a limiter; at the bound it starts anew.
	maxKeys = 4096
)

// Limiter remembers when something was done last, by key; its zero value allows one doing each DefaultEvery.
type Limiter struct {
	// Every replaces DefaultEvery when it is above 0.
	Every time.Duration

	mu   sync.Mutex
	last map[string]time.Time
}

// Due reports whether it is time to do something about the key, and takes it as done.
func (l *Limiter) Due(key string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	every := l.Every
	if every <= 0 {
		every = DefaultEvery
	}
	if last, ok := l.last[key]; ok && now.Sub(last) < every {
		return false
	}
	if l.last == nil || len(l.last) >= maxKeys {
		l.last = map[string]time.Time{}
	}
	l.last[key] = now
	return true
}
