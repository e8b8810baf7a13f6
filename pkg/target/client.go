package target

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"
)

// Limits of the client.
const (
	// MaxReplyBytes bounds one reply; a longer one fails with Malformed.
	MaxReplyBytes = 16 << 20
	// maxHeadBytes bounds the headers of one reply; targets send a few hundred bytes.
	maxHeadBytes = 64 << 10
	// maxHealthBytes bounds one answer to a question for health.
	maxHealthBytes = 4 << 10
	// maxStatus is the greatest status code of a reply.
	maxStatus   = 599
	dialTimeout = 250 * time.Millisecond
	idleTimeout = 5 * time.Minute
)

// Client is a Runner over HTTP; its zero value is ready to use.
type Client struct {
	// Connections limits the connections to one target; 0 means 4.
	Connections int
	client      atomic.Pointer[http.Client]
}

// Run sends the batch and reads the reply. The deadline and the cancellation of ctx end the request and close its
// connection.
func (c *Client) Run(ctx context.Context, address string, b *Batch) (*Reply, error) {
	body, err := json.Marshal(b)
	if err != nil {
		return nil, NotSent.Wrap(err, "encode batch")
	}
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }, Got1xxResponse: checkInterim}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, "http://"+address+PathRun, bytes.NewReader(body))
	if err != nil {
		return nil, NotSent.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http().Do(req)
	if err != nil {
		return nil, wrapError(ctx, err, connected.Load())
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode < http.StatusOK || resp.StatusCode > maxStatus {
		_ = resp.Body.Close()
		// net/http keeps the connection if the reply has no body.
		c.http().CloseIdleConnections()
		return nil, Malformed.New("reply has status %03d", resp.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxReplyBytes+1))
	if err != nil {
		return nil, wrapError(ctx, err, true)
	}
	return DecodeReply(data, b)
}

// checkInterim fails the call if an interim response announces a body, which net/http would take for the reply.
func checkInterim(status int, header textproto.MIMEHeader) error {
	if length := header.Get("Content-Length"); length != "" && length != "0" {
		return Malformed.New("interim response has status %d and a body", status)
	}
	return nil
}

// Health reads the target's health.
func (c *Client) Health(ctx context.Context, address string) (Health, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathHealth, nil)
	if err != nil {
		return Health{}, NotSent.Wrap(err, "build request")
	}
	resp, err := c.http().Do(req)
	if err != nil {
		return Health{}, wrapError(ctx, err, true)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Health{}, Malformed.New("health has status %d", resp.StatusCode)
	}
	var h Health
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxHealthBytes)).Decode(&h); err != nil {
		return Health{}, Malformed.Wrap(err, "health is not JSON")
	}
	return h, nil
}

func (c *Client) http() *http.Client {
	if h := c.client.Load(); h != nil {
		return h
	}
	n := c.Connections
	if n == 0 {
		n = 4
	}
	h := &http.Client{Transport: &http.Transport{
		DialContext:            (&net.Dialer{Timeout: dialTimeout}).DialContext,
		MaxConnsPerHost:        n,
		MaxIdleConnsPerHost:    n,
		IdleConnTimeout:        idleTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}}
	if c.client.CompareAndSwap(nil, h) {
		return h
	}
	return c.client.Load()
}
