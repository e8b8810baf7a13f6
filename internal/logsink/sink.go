package logsink

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// Capacity is the number of queued lines; at some 400 bytes each they take less than a megabyte.
const Capacity = 2000

// flushLimit is how long Close waits for the queued lines to be written.
const flushLimit = 100 * time.Millisecond

// Sink is a zapcore.WriteSyncer that drops lines while its queue is full.
type Sink struct {
	lines chan []byte
	// written is closed when all lines have been written after Close.
	written chan struct{}
	dropped atomic.Int64
	group   errgroup.Group
	once    sync.Once
	mu      sync.RWMutex
	closed  bool
}

// New returns a sink that writes to w.
func New(w io.Writer) *Sink {
	s := &Sink{lines: make(chan []byte, Capacity), written: make(chan struct{})}
	s.group.Go(func() error {
		defer close(s.written)
		for line := range s.lines {
			// There is no other place to report that the log cannot be written.
			_, _ = w.Write(line)
		}
		return nil
	})
	return s
}

// Write queues one line. It never blocks and never fails.
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

// Sync does nothing: Close writes the queued lines.
func (s *Sink) Sync() error { return nil }

// Dropped returns the number of lines dropped since the last call.
func (s *Sink) Dropped() int64 { return s.dropped.Swap(0) }

// Close writes the queued lines and drops all later ones. It gives up lines that a slow writer does not accept in time, so
// that the process can exit.
func (s *Sink) Close() {
	s.once.Do(func() {
		s.mu.Lock()
		s.closed = true
		s.mu.Unlock()
		close(s.lines)
		select {
		case <-s.written:
		case <-time.After(flushLimit):
		}
	})
}
