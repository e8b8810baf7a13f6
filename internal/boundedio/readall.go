package boundedio

import (
	"errors"
	"io"
	"sync"
)

const (
	// firstSize is the buffer size in bytes for a message of unknown length.
	firstSize = 512
	// blockSize is the size in bytes of the blocks into which the rest of a long message is read. Growing a single
	// buffer by copying would take several times the memory of its content.
	blockSize = 64 << 10
)

var blocks = sync.Pool{New: func() any { return new([blockSize]byte) }}

// ReadAll reads until EOF and returns what it read, or nothing after an error. length is the expected length in
// bytes, below 0 when it is not known.
func ReadAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		length = firstSize
	}
	// With one spare byte the buffer does not have to grow before EOF is seen.
	first := make([]byte, 0, min(length+1, blockSize))
	for len(first) < blockSize {
		if len(first) == cap(first) {
			first = append(first, 0)[:len(first)]
		}
		n, err := r.Read(first[len(first):min(cap(first), blockSize)])
		first = first[:len(first)+n]
		if errors.Is(err, io.EOF) {
			return first, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return readBlocks(r, first)
}

// readBlocks reads the rest of a message after its first bytes.
func readBlocks(r io.Reader, first []byte) ([]byte, error) {
	var full []*[blockSize]byte
	defer func() {
		for _, b := range full {
			blocks.Put(b)
		}
	}()
	for {
		b := blocks.Get().(*[blockSize]byte)
		full = append(full, b)
		n, err := fill(r, b[:])
		if errors.Is(err, io.EOF) {
			return join(first, full, n), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// fill reads until the buffer is full. It returns io.EOF when the message ended before that.
func fill(r io.Reader, p []byte) (int, error) {
	n := 0
	for n < len(p) {
		m, err := r.Read(p[n:])
		n += m
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// join returns the first bytes followed by the blocks, of which the last holds n bytes.
func join(first []byte, full []*[blockSize]byte, n int) []byte {
	last := len(full) - 1
	out := make([]byte, 0, len(first)+last*blockSize+n)
	out = append(out, first...)
	for _, b := range full[:last] {
		out = append(out, b[:]...)
	}
	return append(out, full[last][:n]...)
}
