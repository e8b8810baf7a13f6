package boundedio

import (
	"io"

	"github.com/joomcode/errorx"

	"github.com/knapweedpoint/knapweedpoint/internal/readbudget"
)

// unreservedBytes is how many bytes of a message are read without a reservation. It covers an ordinary answer, so
// that endless messages that use up the budget do not make ordinary ones fail.
const unreservedBytes = 32 << 10

// ErrOversized is the error type for messages that exceed their size limit or the remaining budget.
var ErrOversized = errorx.IllegalFormat.NewSubtype("overlong")

// Reader reads from another reader up to a size limit; the zero value allows no bytes.
type Reader struct {
	// Source is the underlying reader.
	Source io.Reader
	// Budget provides the reservations for long messages; nil means no limit.
	Budget *readbudget.Budget

	part      string
	allowed   int64
	remaining int64
	bytesRead int64
	reserved  int64
}

// SetLimit limits the following reads to n more bytes. part names the part of the message in errors.
func (r *Reader) SetLimit(part string, n int64) {
	r.part, r.allowed, r.remaining = part, n, n
}

// Release frees the reservation at the end of a message.
func (r *Reader) Release() {
	if r.Budget != nil {
		r.Budget.Release(r.reserved)
	}
	r.reserved, r.bytesRead = 0, 0
}

// Read reads from the underlying reader. It fails with [ErrOversized] once the limit or the budget is used up.
func (r *Reader) Read(p []byte) (int, error) {
	if r.remaining <= 0 {
		return 0, ErrOversized.New("%s of more than %d bytes", r.part, r.allowed)
	}
	n, err := r.Source.Read(p[:min(int64(len(p)), r.remaining)])
	r.remaining -= int64(n)
	r.bytesRead += int64(n)
	if !r.reserve() {
		return 0, ErrOversized.New("%s: memory budget used up after %d bytes", r.part, r.bytesRead)
	}
	return n, err
}

// reserve reserves budget for the bytes read beyond unreservedBytes.
func (r *Reader) reserve() bool {
	excess := r.bytesRead - unreservedBytes - r.reserved
	if excess <= 0 || r.Budget == nil {
		return true
	}
	if !r.Budget.Reserve(excess) {
		return false
	}
	r.reserved += excess
	return true
}
