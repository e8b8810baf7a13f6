package peer

import (
	"context"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/joomcode/errorx"

	"github.com/knapweedpoint/knapweedpoint/internal/boundedhttp"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
)

var namespace = errorx.NewNamespace("peer")

// Failures of an exchange, by what they say about the envelope.
var (
	// NotHanded fails an envelope of which no byte reached a connection.
	NotHanded = namespace.NewType("notHanded")
	// Unacknowledged fails an envelope that may have been taken.
	Unacknowledged = namespace.NewType("unacknowledged")
)

// Exchanger calls other daemons; every error is NotHanded or Unacknowledged.
type Exchanger interface {
	Exchange(ctx context.Context, address string, e *peerpb.Envelope) (*peerpb.Ack, error)
	Configuration(ctx context.Context, address string, q *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error)
}

const (
	connectionsPerPeer = 8
	// maxReply bounds one reply in bytes: the records of all shards that one relay looks after.
	maxReply        = 16 << 20
	peerIdleTimeout = 2 * time.Minute
)

// Client is the Exchanger over twirp; its zero value works.
type Client struct {
	mu      sync.Mutex
	http    *http.Client
	clients map[string]peerpb.Peer
}

// Exchange sends one envelope.
func (c *Client) Exchange(ctx context.Context, address string, e *peerpb.Envelope) (*peerpb.Ack, error) {
	ctx, handed := traced(ctx)
	ack, err := c.client(address).Exchange(ctx, e)
	return ack, typed(err, handed)
}

// Configuration asks a peer for a later settings tree and VM list.
func (c *Client) Configuration(ctx context.Context, address string, q *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	ctx, handed := traced(ctx)
	reply, err := c.client(address).Configuration(ctx, q)
	return reply, typed(err, handed)
}

func (c *Client) client(address string) peerpb.Peer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.clients == nil {
		c.clients = map[string]peerpb.Peer{}
		c.http = &http.Client{Transport: &boundedhttp.Transport{
			Base: &http.Transport{
				MaxConnsPerHost:        connectionsPerPeer,
				MaxIdleConnsPerHost:    connectionsPerPeer,
				IdleConnTimeout:        peerIdleTimeout,
				DisableCompression:     true,
				MaxResponseHeaderBytes: boundedhttp.MaxHead,
			},
			Body: func() int64 { return maxReply },
		}}
	}
	p, ok := c.clients[address]
	if !ok {
		p = peerpb.NewPeerProtobufClient("http://"+address, c.http)
		c.clients[address] = p
	}
	return p
}

func traced(ctx context.Context) (context.Context, *atomic.Bool) {
	handed := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { handed.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), handed
}

func typed(err error, handed *atomic.Bool) error {
	switch {
	case err == nil:
		return nil
	case handed.Load():
		return Unacknowledged.Wrap(err, "no acknowledgement")
	default:
		return NotHanded.Wrap(err, "no connection")
	}
}
