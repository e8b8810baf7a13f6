package logsink

import (
	"io"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"
)

// Capacity is how many lines wait for the writer; at some 400 bytes each they take under a megabyte.
const Capacity = 2000

// Sink is a zapcore.WriteSyncer that drops lines once Capacity of them wait.
type Sink struct {
	lines   chan []byte
	dropped atomic.Int64
	group   errgroup.Group
	once    sync.Once
	mu      sync.RWMutex
	closed  bool
}

// New returns a sink that writes to w.
func New(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, Capacity)}
	s.group.Go(func() error {
		for line := range s.lines {
			// A log that cannot be written has no other place to be reported.
			_, _ = w.Write(line)
		}
		return nil
	})
	return s
}

// Write queues one line; it never blocks and never fails.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if s.closed {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing: Close writes what waits.
func (s *Sink) Sync() error { return nil }

// Dropped returns how many lines were dropped since it was last called.
func (s *Sink) Dropped() int64 { return s.dropped.Swap(0) }

// Close writes the lines that wait and drops all later ones.
func (s *Sink) Close() {
	s.once.Do(func() {
		s.mu.Lock()
		s.closed = true
		s.mu.Unlock()
		close(s.lines)
		_ = s.group.Wait()
	})
}
