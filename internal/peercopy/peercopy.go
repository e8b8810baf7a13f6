package peercopy

import (
	"context"
	"net/http"

	"github.com/knapweedpoint/knapweedpoint/internal/boundedhttp"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/readbudget"
	"github.com/knapweedpoint/knapweedpoint/internal/targetpool"
)

const (
	// maxCopy limits a compressed copy, in bytes: 1,900 targets of 100 bytes, and a configuration of at most 1 MB.
	maxCopy = 4 << 20
	// maxRequest limits a fetch request, in bytes; it holds two numbers.
	maxRequest = 4 << 10
)

// Server serves a daemon's copy to its peers.
type Server struct {
	// Source returns the state that the requesting daemon lacks.
	Source func(have *gossippb.FetchRequest) (*gossippb.PackedCopy, error)
}

// Fetch returns the state that the requesting daemon lacks.
func (s Server) Fetch(_ context.Context, r *gossippb.FetchRequest) (*gossippb.PackedCopy, error) {
	return s.Source(r)
}

// NewHandler returns the handler of a daemon's Copies service.
func NewHandler(source func(have *gossippb.FetchRequest) (*gossippb.PackedCopy, error)) http.Handler {
	return http.MaxBytesHandler(gossippb.NewCopiesServer(Server{Source: source}), maxRequest)
}

// NewHTTPClient returns a client whose connections fail soon after the peer stops responding. Long responses are charged
// to the budget.
func NewHTTPClient(budget *readbudget.Budget) *http.Client {
	return &http.Client{Transport: &boundedhttp.Transport{
		Base: &http.Transport{
			DialContext: targetpool.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true,
			MaxResponseHeaderBytes: boundedhttp.MaxHeaderBytes,
		},
		MaxBody: func() int64 { return min(maxCopy, budget.MaxMessage()) },
		Budget:  budget,
	}}
}

// Fetch fetches the state that this daemon lacks from the daemon at the address.
func Fetch(ctx context.Context, c *http.Client, address string, have *gossippb.FetchRequest) (*gossippb.PackedCopy, error) {
	client := gossippb.NewCopiesProtobufClient("http://"+address, c)
	return client.Fetch(ctx, have)
}
