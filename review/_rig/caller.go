package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// host is the host of all routes.
const host = "review.example"

// balancer forwards new connections of callers to the daemons that are ready, as the platform does: a daemon that misses
// two checks, one a second, gets no new connections until it answers 200 again.
type balancer struct {
	rig     *rig
	daemons []*daemon
	mu      sync.Mutex
	misses  map[*daemon]int
	stop    chan struct{}
}

func (r *rig) newBalancer(ds []*daemon) *balancer {
	b := &balancer{rig: r, daemons: ds, misses: map[*daemon]int{}, stop: make(chan struct{})}
	for _, d := range ds {
		go b.check(d)
	}
	r.onClose(func() { close(b.stop) })
	return b
}

func (b *balancer) check(d *daemon) {
	for {
		ok := d.ready()
		b.mu.Lock()
		if ok {
			b.misses[d] = 0
		} else {
			b.misses[d]++
		}
		b.mu.Unlock()
		select {
		case <-time.After(time.Second):
		case <-b.stop:
			return
		}
	}
}

// pick returns a daemon in rotation other than the given one, if there is one.
func (b *balancer) pick(other *daemon) *daemon {
	b.mu.Lock()
	defer b.mu.Unlock()
	var in []*daemon
	for _, d := range b.daemons {
		if b.misses[d] < 2 && d != other {
			in = append(in, d)
		}
	}
	if len(in) == 0 {
		return b.daemons[rand.IntN(len(b.daemons))]
	}
	return in[rand.IntN(len(in))]
}

// attempts numbers the attempts of all callers.
var attempts atomic.Int64

// reply is the answer to one attempt; a status of 0 means that the connection ended without one.
type reply struct {
	id         string
	status     int
	stamp      string
	retryAfter time.Duration
	// parts are the signatures in X-Part-Stamps, missing the number in X-Missing-Parts, and body the answer to a search.
	parts   []string
	missing string
	body    []byte
}

// caller is one client with a connection to one daemon.
type caller struct {
	rig    *rig
	daemon *daemon
	http   *http.Client
}

func (r *rig) newCaller(d *daemon) *caller {
	t := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	return &caller{rig: r, daemon: d, http: &http.Client{Transport: t}}
}

// send makes one attempt, with an id of its own.
func (c *caller) send(method, path, body string, deadline time.Duration) reply {
	out := reply{id: fmt.Sprintf("%016x", uint64(attempts.Add(1))<<20|uint64(rand.IntN(1<<20)))}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", c.daemon.ip, c.rig.ports.callers, path), io.NopCloser(bytes.NewBufferString(body)))
	if err != nil {
		return out
	}
	// Without GetBody the transport never repeats an attempt by itself.
	q.ContentLength = int64(len(body))
	if body == "" {
		q.Body = nil
	}
	q.Host = host
	q.Header.Set("X-Request-Id", out.id)
	q.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	c.rig.logf("sent %s %s %s to %s", out.id, method, path, c.daemon.name)
	res, err := c.http.Do(q)
	if err != nil {
		c.rig.logf("no answer %s: %v", out.id, err)
		return out
	}
	defer func() { _ = res.Body.Close() }()
	if out.body, err = io.ReadAll(res.Body); err != nil {
		c.rig.logf("broken answer %s: %v", out.id, err)
		return out
	}
	for _, line := range res.Header.Values("X-Part-Stamps") {
		for part := range strings.SplitSeq(line, ",") {
			out.parts = append(out.parts, strings.TrimSpace(part))
		}
	}
	out.missing = res.Header.Get("X-Missing-Parts")
	out.status, out.stamp = res.StatusCode, res.Header.Get("X-Server-Stamp")
	if s, err := strconv.ParseFloat(res.Header.Get("Retry-After"), 64); err == nil {
		out.retryAfter = time.Duration(s * float64(time.Second))
	}
	c.rig.logf("answered %s %d %s%s", out.id, out.status, out.stamp, strings.Join(out.parts, " "))
	return out
}

// promised reports whether the status says that the request has not run and never will.
func (a reply) promised() bool {
	switch a.status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}
