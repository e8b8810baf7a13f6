package intake

import "sync/atomic"

const (
	// memoryParts is the part of a VM's memory that unfinished messages may take: joining the blocks of a message doubles
	// it, and garbage the heap, so that a sixteenth read is at most a quarter held.
	memoryParts = 16
	// messageParts is the part of the budget that one message may take, so that one sender cannot use it up.
	messageParts = 2
	// maxMessage bounds one message on VMs of any size, in bytes.
	maxMessage = 16 << 20
	// defaultMemory is a VM's memory in bytes where it is not known.
	defaultMemory = 256 << 20
)

// Budget counts the bytes of messages that are being read; its zero value has the limits of a VM of 256 MiB.
type Budget struct {
	memory int64
	used   atomic.Int64
}

// New returns the budget of a VM with so many bytes of memory, 0 when that is not known.
func New(memory int64) *Budget { return &Budget{memory: memory} }

// Limit returns how many bytes may be held at one time.
func (b *Budget) Limit() int64 {
	if b.memory <= 0 {
		return defaultMemory / memoryParts
	}
	return b.memory / memoryParts
}

// Message returns how many bytes the body of one message may have.
func (b *Budget) Message() int64 { return min(b.Limit()/messageParts, maxMessage) }

// Take reserves n bytes; false when they are not left.
func (b *Budget) Take(n int64) bool {
	if b.used.Add(n) > b.Limit() {
		b.used.Add(-n)
		return false
	}
	return true
}

// Give returns n reserved bytes.
func (b *Budget) Give(n int64) { b.used.Add(-n) }

// Used returns how many bytes are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }
