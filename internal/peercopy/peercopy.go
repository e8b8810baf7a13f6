package peercopy

import (
	"context"
	"net/http"

	"github.com/knapweedpoint/knapweedpoint/internal/boundedhttp"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/intake"
	"github.com/knapweedpoint/knapweedpoint/internal/targetpool"
)

const (
	// maxCopy bounds a compressed copy in bytes: 1,900 targets of 100 bytes, and a configuration of a megabyte at most.
	maxCopy = 4 << 20
	// maxQuestion bounds what a peer asks in bytes: two numbers.
	maxQuestion = 4 << 10
)

// Server offers a daemon's copy to its peers.
type Server struct {
	// Source returns what an asker lacks.
	Source func(have *gossippb.FetchRequest) (*gossippb.PackedCopy, error)
}

// Fetch returns the copy.
func (s Server) Fetch(_ context.Context, r *gossippb.FetchRequest) (*gossippb.PackedCopy, error) {
	return s.Source(r)
}

// NewHandler returns the handler of a daemon's Copies service.
func NewHandler(source func(have *gossippb.FetchRequest) (*gossippb.PackedCopy, error)) http.Handler {
	return http.MaxBytesHandler(gossippb.NewCopiesServer(Server{Source: source}), maxQuestion)
}

// NewHTTPClient returns a client whose connections fail soon after their peer falls silent; long answers draw on the
// budget.
func NewHTTPClient(budget *intake.Budget) *http.Client {
	return &http.Client{Transport: &boundedhttp.Transport{
		Base: &http.Transport{
			DialContext: targetpool.DialContext, MaxIdleConnsPerHost: 1, DisableCompression: true,
			MaxResponseHeaderBytes: boundedhttp.MaxHead,
		},
		Body:   func() int64 { return min(maxCopy, budget.Message()) },
		Budget: budget,
	}}
}

// Fetch asks the daemon at the address for its copy.
func Fetch(ctx context.Context, c *http.Client, address string, have *gossippb.FetchRequest) (*gossippb.PackedCopy, error) {
	client := gossippb.NewCopiesProtobufClient("http://"+address, c)
	return client.Fetch(ctx, have)
}
