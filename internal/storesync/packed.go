package storesync

import (
	"bytes"
	"compress/gzip"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedpoint/knapweedpoint/internal/allowance"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
)

const (
	// maxCopy bounds a copy in bytes: 1,900 targets of 100 bytes, and a configuration of a megabyte at most.
	maxCopy = 8 << 20
	// packedFor is how long one packed copy serves all that lack the same: the time over which daemons that hear of
	// a change together ask.
	packedFor = 500 * time.Millisecond
)

// packed is the copy that was packed last; its zero value is none.
type packed struct {
	of    packedKey
	until time.Time
	copy  []byte
}

// packedKey tells copies apart: by what the sender has, and by what the askers have.
type packedKey struct {
	revision, version uint64
	changes, document bool
}

// pack returns the copy compressed; build makes it unless the last one was the same.
func (p *packed) pack(of packedKey, now time.Time, build func() *gossippb.Copy) ([]byte, error) {
	if p.of == of && now.Before(p.until) {
		return p.copy, nil
	}
	data, err := proto.Marshal(build())
	if err != nil {
		return nil, errorx.InternalError.Wrap(err, "encode a copy")
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// A buffer never fails to take bytes; Close reports what was wrong with them.
	_, _ = w.Write(data)
	if err := w.Close(); err != nil {
		return nil, errorx.InternalError.Wrap(err, "compress a copy")
	}
	p.of, p.until, p.copy = of, now.Add(packedFor), b.Bytes()
	return p.copy, nil
}

// unpack returns the copy that a peer sent.
func unpack(m *gossippb.PackedCopy) (*gossippb.Copy, error) {
	r, err := gzip.NewReader(bytes.NewReader(m.GetCopy()))
	if err != nil {
		return nil, errorx.IllegalFormat.Wrap(err, "copy of a peer")
	}
	limited := &allowance.Reader{From: r}
	limited.Allow("copy", maxCopy)
	data, err := allowance.ReadAll(limited, -1)
	if err != nil {
		return nil, errorx.IllegalFormat.Wrap(err, "copy of a peer")
	}
	c := &gossippb.Copy{}
	if err := proto.Unmarshal(data, c); err != nil {
		return nil, errorx.IllegalFormat.Wrap(err, "copy of a peer")
	}
	c.AgeMillis = m.GetAgeMillis()
	return c, nil
}
