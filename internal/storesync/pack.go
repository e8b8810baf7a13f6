package storesync

import (
	"bytes"
	"compress/gzip"
	"time"

	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedpoint/knapweedpoint/internal/boundedio"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
)

const (
	// maxCopy limits an uncompressed copy, in bytes: 1,900 targets of 100 bytes, and a configuration of at most 1 MB.
	maxCopy = 8 << 20
	// packTTL is how long a compressed copy is reused for peers that lack the same state. It covers the time over which
	// daemons that learn of a change together spread their fetches.
	packTTL = 500 * time.Millisecond
)

// packCache holds the most recently compressed copy. Its zero value is empty.
type packCache struct {
	key   packKey
	until time.Time
	copy  []byte
}

// packKey identifies a compressed copy by the state of the sender and by what the requesting peers lack.
type packKey struct {
	era, revision, version uint64
	// changes is set if the copy holds changes instead of all targets, and document if it holds the configuration
	// document.
	changes, document bool
}

// pack returns the compressed copy for a key, and calls build unless the cached one can be reused.
func (p *packCache) pack(key packKey, now time.Time, build func() *gossippb.Copy) ([]byte, error) {
	if p.key == key && now.Before(p.until) {
		return p.copy, nil
	}
	data, err := proto.Marshal(build())
	if err != nil {
		return nil, errorx.InternalError.Wrap(err, "encode copy")
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// Writing to a buffer cannot fail; Close reports errors of the compression.
	_, _ = w.Write(data)
	if err := w.Close(); err != nil {
		return nil, errorx.InternalError.Wrap(err, "compress copy")
	}
	p.key, p.until, p.copy = key, now.Add(packTTL), b.Bytes()
	return p.copy, nil
}

// unpack decompresses and decodes a copy from a peer.
func unpack(m *gossippb.PackedCopy) (*gossippb.Copy, error) {
	r, err := gzip.NewReader(bytes.NewReader(m.GetCopy()))
	if err != nil {
		return nil, errorx.IllegalFormat.Wrap(err, "decompress copy from peer")
	}
	limited := &boundedio.Reader{Source: r}
	limited.SetLimit("copy", maxCopy)
	data, err := boundedio.ReadAll(limited, -1)
	if err != nil {
		return nil, errorx.IllegalFormat.Wrap(err, "read copy from peer")
	}
	c := &gossippb.Copy{}
	if err := proto.Unmarshal(data, c); err != nil {
		return nil, errorx.IllegalFormat.Wrap(err, "decode copy from peer")
	}
	c.AgeMillis = m.GetAgeMillis()
	return c, nil
}
