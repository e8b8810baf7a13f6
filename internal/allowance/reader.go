package allowance

import (
	"io"

	"github.com/joomcode/errorx"

	"github.com/knapweedpoint/knapweedpoint/internal/intake"
)

// free is how many bytes of a message are read without a reservation: all of a usual answer, so that endless messages
// that use up the budget do not end the others.
const free = 32 << 10

// ErrOverlong is the type of the errors of messages that are longer than they may be, or than the budget has room for.
var ErrOverlong = errorx.IllegalFormat.NewSubtype("overlong")

// Reader passes on what it reads until a message's allowance is used up; its zero value allows nothing.
type Reader struct {
	// From is what is read.
	From io.Reader
	// Budget is drawn on for long messages; nil has no bound.
	Budget *intake.Budget

	part    string
	allowed int64
	left    int64
	read    int64
	held    int64
}

// Allow bounds what follows: n more bytes, of the named part of a message.
func (r *Reader) Allow(part string, n int64) {
	r.part, r.allowed, r.left = part, n, n
}

// Release ends a message: its reservation is returned.
func (r *Reader) Release() {
	if r.Budget != nil {
		r.Budget.Give(r.held)
	}
	r.held, r.read = 0, 0
}

// Read reads from From; it fails with ErrOverlong once the allowance or the budget is used up.
func (r *Reader) Read(p []byte) (int, error) {
	if r.left <= 0 {
		return 0, ErrOverlong.New("%s of more than %d bytes", r.part, r.allowed)
	}
	n, err := r.From.Read(p[:min(int64(len(p)), r.left)])
	r.left -= int64(n)
	r.read += int64(n)
	if !r.reserve() {
		return 0, ErrOverlong.New("%s: no room after %d bytes", r.part, r.read)
	}
	return n, err
}

// reserve draws on the budget for what was read beyond the free bytes.
func (r *Reader) reserve() bool {
	more := r.read - free - r.held
	if more <= 0 || r.Budget == nil {
		return true
	}
	if !r.Budget.Take(more) {
		return false
	}
	r.held += more
	return true
}
