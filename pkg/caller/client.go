package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/joomcode/errorx"
)

const maxAnswerBytes = 64 << 20

var namespace = errorx.NewNamespace("caller")

// Errors of the client.
var (
	// Unreachable is the error of a call that got no answer. The request may have run.
	Unreachable = namespace.NewType("unreachable")
	// Rejected is the error of a call with invalid input. The request was not run.
	Rejected = namespace.NewType("rejected")
)

// Client calls a daemon on behalf of a caller.
type Client struct {
	base string
	http http.Client
}

// NewClient returns a client for the daemon at the address, in the form "host:port".
func NewClient(address string) *Client {
	return &Client{base: "http://" + address}
}

// Search runs a search over all services of a group.
func (c *Client) Search(ctx context.Context, team, group string, q Question) (Answer, error) {
	return c.post(ctx, "search", team, group, "", q)
}

// Lookup retrieves a single record.
func (c *Client) Lookup(ctx context.Context, team, group string, q Question) (Answer, error) {
	return c.post(ctx, "lookup", team, group, "", q)
}

// Book makes a booking under an idempotency key.
func (c *Client) Book(ctx context.Context, team, group, key string, q Question) (Answer, error) {
	return c.post(ctx, "booking", team, group, key, q)
}

// BookingOutcome returns the result of the booking under an idempotency key, without running it.
func (c *Client) BookingOutcome(ctx context.Context, team, group, key string) (Answer, error) {
	endpoint := c.url("booking", team, group) + "/" + url.PathEscape(key)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, endpoint, http.NoBody)
	if err != nil {
		return Answer{}, Rejected.Wrap(err, "build request")
	}
	return c.do(req)
}

func (c *Client) url(verb, team, group string) string {
	return c.base + "/v1/teams/" + url.PathEscape(team) + "/" + verb + "/" + url.PathEscape(group)
}

func (c *Client) post(ctx context.Context, verb, team, group, key string, q Question) (Answer, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return Answer{}, Rejected.Wrap(err, "encode question")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(verb, team, group), bytes.NewReader(body))
	if err != nil {
		return Answer{}, Rejected.Wrap(err, "build request")
	}
	req.Header.Set("Content-Type", "application/json")
	// When the Idempotency-Key header is set in its canonical form, http.Transport retries the request by itself after a
	// failure of a reused connection. A nil GetBody rules that out.
	req.GetBody = nil
	if key != "" {
		req.Header.Set(HeaderIdempotencyKey, key)
	}
	return c.do(req)
}

func (c *Client) do(req *http.Request) (Answer, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return Answer{}, Unreachable.Wrap(err, "%s %s", req.Method, req.URL.Path)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return Answer{}, Unreachable.Wrap(err, "read answer")
	}
	var a Answer
	if json.Unmarshal(data, &a) == nil && a.Outcome != "" {
		return a, nil
	}
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode < http.StatusInternalServerError {
		return Answer{}, Rejected.New("%s: %s", resp.Status, bytes.TrimSpace(data))
	}
	return Answer{}, Unreachable.New("%s: response body is not an answer", resp.Status)
}
