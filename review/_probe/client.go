package main

import (
	"bufio"
	"bytes"
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

// attempt is one attempt of a client, and how it ended.
type attempt struct {
	id, class, method, path, body string
	idempotent                    bool
	daemon                        string
	sentAt, endedAt               time.Time
	// status is 0 if there was no complete answer; reason then says why.
	status int
	reason string
	header http.Header
	answer []byte
}

// class is a kind of request.
type class struct {
	name, method, host, prefix string
	idempotent                 bool
	deadline                   time.Duration
	perSecond                  float64
	retries                    int
	// long is the length of the longest bodies; leave is the share of the attempts that the client gives up early.
	long  int
	leave float64
}

// clients are the clients of one run.
type clients struct {
	fleet *fleet
	next  atomic.Uint64

	mu       sync.Mutex
	attempts []*attempt
	group    sync.WaitGroup
}

// client keeps connections open between its requests.
type client struct {
	hash int
	zone string

	mu   sync.Mutex
	idle []*conn
}

type conn struct {
	net.Conn
	in     *bufio.Reader
	daemon *daemon
	idleAt time.Time
}

// load sends the requests of a class at random times until the end.
func (cs *clients) load(k class, perZone int, until time.Time) {
	var all []*client
	for _, z := range zones {
		for range perZone {
			all = append(all, &client{hash: rand.IntN(1 << 30), zone: z.name})
		}
	}
	cs.group.Go(func() {
		at := time.Now()
		for {
			at = at.Add(time.Duration(rand.ExpFloat64() / k.perSecond * float64(time.Second)))
			if at.After(until) {
				return
			}
			time.Sleep(time.Until(at))
			c := all[rand.IntN(len(all))]
			cs.group.Go(func() { cs.request(c, k) })
		}
	})
}

// request sends one request, and again where the protocol allows it.
func (cs *clients) request(c *client, k class) {
	until := time.Now().Add(k.deadline)
	n := cs.next.Add(1)
	path, body := fmt.Sprintf("%s%x", k.prefix, n), ""
	if k.method == http.MethodPost {
		body = fmt.Sprintf("{\"lot\":%d}", n)
		if k.long > 0 && rand.IntN(3) == 0 {
			body += strings.Repeat(fmt.Sprintf(" %d", n), rand.IntN(k.long)/8)
		}
	}
	for try := 0; ; try++ {
		left := time.Until(until)
		if left < 20*time.Millisecond {
			return
		}
		a := &attempt{id: fmt.Sprintf("%08x%08x", n, rand.Uint32()), class: k.name, method: k.method, path: path, body: body, idempotent: k.idempotent}
		cs.send(c, k, a, left, try)
		cs.mu.Lock()
		cs.attempts = append(cs.attempts, a)
		cs.mu.Unlock()
		cs.fleet.log.printf("answered id=%s daemon=%s status=%d %s", a.id, a.daemon, a.status, a.reason)
		promised := a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421
		if try >= k.retries || a.status != 0 && a.status < 500 && !promised || !k.idempotent && !promised {
			return
		}
		wait := time.Duration(0)
		if s, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil {
			wait = min(time.Duration(s*float64(time.Second)), time.Until(until)/3)
		}
		time.Sleep(wait)
	}
}

// send makes one attempt. Repeats use a new connection to another daemon.
func (cs *clients) send(c *client, k class, a *attempt, left time.Duration, try int) {
	x, err := cs.connect(c, try)
	if err != nil {
		a.reason = "connect: " + err.Error()
		return
	}
	a.daemon, a.sentAt = x.daemon.name, time.Now()
	cs.fleet.log.printf("sent id=%s class=%s daemon=%s method=%s path=%s deadline=%d", a.id, k.name, x.daemon.name, a.method, a.path, left.Milliseconds())
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", a.method, a.path, k.host, a.id, left.Milliseconds())
	if a.body != "" {
		fmt.Fprintf(&b, "Content-Type: application/json\r\nContent-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n" + a.body)
	if k.leave > 0 && rand.Float64() < k.leave {
		left = time.Duration(rand.Float64() * float64(left) / 10)
	}
	_ = x.SetDeadline(a.sentAt.Add(left))
	defer func() { a.endedAt = time.Now() }()
	if _, err := x.Write(b.Bytes()); err != nil {
		a.reason = "write: " + err.Error()
		_ = x.Close()
		return
	}
	r, err := http.ReadResponse(x.in, &http.Request{Method: a.method})
	if err != nil {
		a.reason = "read: " + err.Error()
		_ = x.Close()
		return
	}
	answer, err := io.ReadAll(r.Body)
	if err != nil {
		a.reason = "body: " + err.Error()
		_ = x.Close()
		return
	}
	a.status, a.header, a.answer = r.StatusCode, r.Header, answer
	if r.Close {
		_ = x.Close()
		return
	}
	x.idleAt = time.Now()
	c.mu.Lock()
	c.idle = append(c.idle, x)
	c.mu.Unlock()
}

func (cs *clients) connect(c *client, try int) (*conn, error) {
	if try == 0 {
		c.mu.Lock()
		for len(c.idle) > 0 {
			x := c.idle[len(c.idle)-1]
			c.idle = c.idle[:len(c.idle)-1]
			if time.Since(x.idleAt) < 12*time.Second {
				c.mu.Unlock()
				return x, nil
			}
			_ = x.Close()
		}
		c.mu.Unlock()
	}
	d := cs.fleet.pick(c.zone, c.hash+try)
	raw, err := net.DialTimeout("tcp4", d.callers(), time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, in: bufio.NewReader(raw), daemon: d}, nil
}
