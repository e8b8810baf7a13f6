package gossip

import (
	"iter"
	"slices"
	"sync"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
)

// maxQueued limits the datagrams that wait to be handled, and maxQueuedBytes their encoded size in bytes: most have less than
// 2 KB. A socket buffer holds fewer.
const (
	maxQueued      = 4096
	maxQueuedBytes = 4 << 20
)

// received is a datagram and a time before which it has not arrived. It may have waited in the socket since, while the process
// stood still.
type received struct {
	*gossippb.Datagram
	arrivedAfter time.Time
}

// inbox is a queue of datagrams that were read but not yet handled. Its zero value is empty.
type inbox struct {
	once   sync.Once
	signal chan struct{}
	mu     sync.Mutex
	queue  []received
	// bytes is the encoded size of the queued datagrams.
	bytes int
}

func (b *inbox) ready() chan struct{} {
	b.once.Do(func() { b.signal = make(chan struct{}, 1) })
	return b.signal
}

// put adds a datagram with the given encoded size in bytes. It returns false if the inbox is full.
func (b *inbox) put(d received, size int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= maxQueued || b.bytes+size > maxQueuedBytes {
		return false
	}
	b.queue = append(b.queue, d)
	b.bytes += size
	select {
	case b.ready() <- struct{}{}:
	default:
	}
	return true
}

// close ends the sequence that batches returns, after the queued datagrams. put must not be called after close.
func (b *inbox) close() { close(b.ready()) }

// batches yields batches of the datagrams that were put since the previous batch, cancellations first in each.
func (b *inbox) batches() iter.Seq[[]received] {
	return func(yield func([]received) bool) {
		for range b.ready() {
			if ds := b.drain(); !yield(ds) {
				return
			}
		}
	}
}

func (b *inbox) drain() []received {
	b.mu.Lock()
	defer b.mu.Unlock()
	ds := b.queue
	b.queue, b.bytes = nil, 0
	slices.SortStableFunc(ds, func(x, y received) int { return priority(x) - priority(y) })
	return ds
}

func priority(d received) int {
	if d.GetPartsCancel() != nil {
		return 0
	}
	return 1
}
