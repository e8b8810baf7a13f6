package boundedhttp

import (
	"io"
	"net/http"

	"github.com/joomcode/errorx"

	"github.com/knapweedpoint/knapweedpoint/internal/allowance"
	"github.com/knapweedpoint/knapweedpoint/internal/intake"
)

// MaxHead bounds the head of an answer in bytes; daemons and stores send some hundred.
const MaxHead = 64 << 10

// Transport reads answers no further than Body bytes; its zero value allows no body.
type Transport struct {
	// Base makes the calls; its MaxResponseHeaderBytes bounds the heads.
	Base *http.Transport
	// Body returns the bound of one body in bytes.
	Body func() int64
	// Budget is drawn on for long bodies; nil has no bound.
	Budget *intake.Budget
}

// RoundTrip makes one call; a body that is too long fails with allowance.ErrOverlong.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.Base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	most := t.Body()
	if response.ContentLength > most {
		_ = response.Body.Close()
		return nil, allowance.ErrOverlong.New("body of %d bytes, more than %d", response.ContentLength, most)
	}
	b := &body{closer: response.Body, reader: allowance.Reader{From: response.Body, Budget: t.Budget}}
	b.reader.Allow("body", most+1)
	response.Body = b
	return response, nil
}

// body is a body with an allowance; one byte beyond the bound tells a body that ends there from one that goes on.
type body struct {
	closer io.Closer
	reader allowance.Reader
}

// Read reads on.
func (b *body) Read(p []byte) (int, error) { return b.reader.Read(p) }

// Close ends the reading.
func (b *body) Close() error {
	b.reader.Release()
	if err := b.closer.Close(); err != nil {
		return errorx.ExternalError.Wrap(err, "close a body")
	}
	return nil
}
