package readbudget

import "sync/atomic"

const (
	// memoryDivisor defines the share of the memory of a VM that the bytes read of unfinished messages may take.
	// Joining the blocks of a message doubles its size and garbage doubles the heap, so a sixteenth occupies at most a
	// quarter.
	memoryDivisor = 16
	// messageDivisor defines the share of the budget that one message may take, so that one sender cannot use it up.
	messageDivisor = 2
	// maxMessage is the size limit of one message in bytes, regardless of the memory of the VM.
	maxMessage = 16 << 20
	// defaultMemory is the assumed memory of a VM in bytes when it is not known.
	defaultMemory = 256 << 20
)

// Budget counts the bytes of the messages that are being read. The zero value has the limits of a VM with 256 MiB.
type Budget struct {
	memory int64
	used   atomic.Int64
}

// New returns the budget of a VM with the given memory in bytes, 0 when it is not known.
func New(memory int64) *Budget { return &Budget{memory: memory} }

// Limit returns the total number of bytes that may be reserved.
func (b *Budget) Limit() int64 {
	if b.memory <= 0 {
		return defaultMemory / memoryDivisor
	}
	return b.memory / memoryDivisor
}

// MaxMessage returns the size limit of the body of one message in bytes.
func (b *Budget) MaxMessage() int64 { return min(b.Limit()/messageDivisor, maxMessage) }

// Reserve reserves n bytes. It returns false when fewer are left.
func (b *Budget) Reserve(n int64) bool {
	if b.used.Add(n) > b.Limit() {
		b.used.Add(-n)
		return false
	}
	return true
}

// Exceed reserves n bytes even if fewer are left, for a message that exists already.
func (b *Budget) Exceed(n int64) { b.used.Add(n) }

// Release frees n reserved bytes.
func (b *Budget) Release(n int64) { b.used.Add(-n) }

// Reserved returns the number of reserved bytes.
func (b *Budget) Reserved() int64 { return b.used.Load() }
