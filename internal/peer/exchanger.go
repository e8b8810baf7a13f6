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

// Errors of an exchange; they tell whether the peer may have received the envelope.
var (
	// NotSent is the error for an envelope of which no byte reached a connection.
	NotSent = namespace.NewType("notHanded")
	// Unacknowledged is the error for an envelope that the peer may have received.
	Unacknowledged = namespace.NewType("unacknowledged")
)

// Exchanger calls other daemons; every error that it returns is NotSent or Unacknowledged.
type Exchanger interface {
	Exchange(ctx context.Context, address string, e *peerpb.Envelope) (*peerpb.Ack, error)
	Configuration(ctx context.Context, address string, q *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error)
}

const (
	connectionsPerPeer = 8
	// maxReplyBytes limits one reply; the largest one holds the records of all shards that one relay serves.
	maxReplyBytes   = 16 << 20
	peerIdleTimeout = 2 * time.Minute
)

// Client is the Exchanger over Twirp; its zero value is ready to use.
type Client struct {
	mu      sync.Mutex
	http    *http.Client
	clients map[string]peerpb.Peer
}

// Exchange sends one envelope.
func (c *Client) Exchange(ctx context.Context, address string, e *peerpb.Envelope) (*peerpb.Ack, error) {
	ctx, gotConn := withConnTrace(ctx)
	ack, err := c.client(address).Exchange(ctx, e)
	return ack, classify(err, gotConn)
}

// Configuration requests a peer's configuration and VM list, each only if it is later than the one that this daemon has.
func (c *Client) Configuration(ctx context.Context, address string, q *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	ctx, gotConn := withConnTrace(ctx)
	reply, err := c.client(address).Configuration(ctx, q)
	return reply, classify(err, gotConn)
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
				MaxResponseHeaderBytes: boundedhttp.MaxHeaderBytes,
			},
			MaxBody: func() int64 { return maxReplyBytes },
		}}
	}
	p, ok := c.clients[address]
	if !ok {
		p = peerpb.NewPeerProtobufClient("http://"+address, c.http)
		c.clients[address] = p
	}
	return p
}

func withConnTrace(ctx context.Context) (context.Context, *atomic.Bool) {
	gotConn := &atomic.Bool{}
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConn.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), gotConn
}

func classify(err error, gotConn *atomic.Bool) error {
	switch {
	case err == nil:
		return nil
	case gotConn.Load():
		return Unacknowledged.Wrap(err, "peer did not acknowledge the envelope")
	default:
		return NotSent.Wrap(err, "no connection to the peer")
	}
}
