package gracefulhttp

import (
	"net"
	"net/http"
	"strings"
	"sync"
)

// Tracker follows the connections of one or more http.Servers. Its zero value is ready to use.
type Tracker struct {
	mu     sync.Mutex
	states map[net.Conn]http.ConnState
}

// Hook is the ConnState hook of the servers.
func (t *Tracker) Hook(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(t.states, c)
		return
	}
	if t.states == nil {
		t.states = map[net.Conn]http.ConnState{}
	}
	t.states[c] = state
}

// Counts returns the number of connections by state: "new", "idle" or "active".
func (t *Tracker) Counts() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := map[string]int{}
	for _, s := range t.states {
		counts[strings.ToLower(s.String())]++
	}
	return counts
}
