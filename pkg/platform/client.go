package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/joomcode/errorx"
)

// MaxValueBytes is the maximum size of one response of the platform's services.
const MaxValueBytes = 1 << 20

// replyTimeout is how long a reply may take, not counting the wait of a watch.
const replyTimeout = 2 * time.Second

var namespace = errorx.NewNamespace("platform")

// Unavailable is the error of a call that got no complete, valid answer from the platform.
var Unavailable = namespace.NewType("unavailable", errorx.Temporary())

// Client is a Source that calls the platform over HTTP.
type Client struct {
	base string
	http http.Client
}

// NewClient returns a client for the platform at the address, in the form "host:port".
func NewClient(address string) *Client {
	return &Client{base: "http://" + address}
}

// Index watches the configuration index.
func (c *Client) Index(ctx context.Context, after uint64, wait time.Duration) (Index, error) {
	var index Index
	err := c.watch(ctx, PathConfiguration, after, wait, &index)
	return index, err
}

// VMs watches the list of VMs.
func (c *Client) VMs(ctx context.Context, after uint64, wait time.Duration) (VMList, error) {
	var list VMList
	err := c.watch(ctx, PathVMs, after, wait, &list)
	return list, err
}

// Team reads one team's subtree. It fails when the digest of the branch is no longer published.
func (c *Client) Team(ctx context.Context, b Branch) (json.RawMessage, error) {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	path := PathTeams + url.PathEscape(b.Team) + "?digest=" + url.QueryEscape(b.Digest)
	data, err := c.get(ctx, path)
	if err != nil {
		return nil, err
	}
	if !json.Valid(data) {
		// The end of a connection may have cut the reply short.
		return nil, Unavailable.New("GET %s: reply of %d bytes is not JSON", path, len(data))
	}
	return data, nil
}

func (c *Client) watch(ctx context.Context, path string, after uint64, wait time.Duration, into any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+replyTimeout)
	defer cancel()
	data, err := c.get(ctx, fmt.Sprintf("%s?after=%d&wait=%s", path, after, wait))
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return Unavailable.Wrap(err, "GET %s: decode reply", path)
	}
	return nil
}

func (c *Client) get(ctx context.Context, path string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, http.NoBody)
	if err != nil {
		return nil, Unavailable.Wrap(err, "build request")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, Unavailable.Wrap(err, "GET %s", path)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxValueBytes+1))
	switch {
	case err != nil:
		return nil, Unavailable.Wrap(err, "read %s", path)
	case resp.StatusCode != http.StatusOK:
		return nil, Unavailable.New("GET %s: %s", path, resp.Status)
	case len(data) > MaxValueBytes:
		return nil, Unavailable.New("GET %s: reply exceeds %d bytes", path, MaxValueBytes)
	}
	return data, nil
}
