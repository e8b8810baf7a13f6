package boundedhttp

import (
	"io"
	"net/http"

	"github.com/joomcode/errorx"

	"github.com/knapweedpoint/knapweedpoint/internal/boundedio"
	"github.com/knapweedpoint/knapweedpoint/internal/readbudget"
)

// MaxHeaderBytes is the size limit of the head of a response in bytes; daemons and stores send a few hundred.
const MaxHeaderBytes = 64 << 10

// Transport limits response bodies to MaxBody bytes; the zero value allows no body.
type Transport struct {
	// Base makes the requests; its MaxResponseHeaderBytes limits the response heads.
	Base *http.Transport
	// MaxBody returns the size limit of a body in bytes.
	MaxBody func() int64
	// Budget provides the reservations for long bodies; nil means no limit.
	Budget *readbudget.Budget
}

// RoundTrip makes one request. A body that is too long fails with [boundedio.ErrOversized].
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	limit := t.MaxBody()
	if response.ContentLength > limit {
		_ = response.Body.Close()
		return nil, boundedio.ErrOversized.New("body of %d bytes exceeds the limit of %d bytes", response.ContentLength, limit)
	}
	b := &body{closer: response.Body, reader: boundedio.Reader{Source: response.Body, Budget: t.Budget}}
	b.reader.SetLimit("body", limit+1)
	response.Body = b
	return response, nil
}

// body is a response body with a size limit. Its reader allows one byte more than the limit, so that a body that ends
// at the limit can be told from one that continues.
type body struct {
	closer io.Closer
	reader boundedio.Reader
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) { return b.reader.Read(p) }

// Close releases the reservation and closes the underlying body.
func (b *body) Close() error {
	b.reader.Release()
	if err := b.closer.Close(); err != nil {
		return errorx.ExternalError.Wrap(err, "close response body")
	}
	return nil
}
