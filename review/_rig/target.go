package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// target is one replica, as PROTOCOL.md describes it: it runs slots requests at once, queues some more, and refuses the
// rest with 503 and X-Not-Run.
type target struct {
	rig     *rig
	id      string
	service string
	zone    string
	slots   int
	queue   int
	work    func() time.Duration
	// extra reports whether the answer that is being sent gets a second copy, which arrives where the next response on
	// its connection is expected.
	extra func() bool
	// arrived, if set, is called with each request that has arrived and is for this target.
	arrived func(q *http.Request, at time.Time)
	// records, if set, returns the body of the answer to a request.
	records func(t *target, id string) string
	// began is called when the target begins to work on a request.
	began func(t *target, q *http.Request)

	listener net.Listener
	born     int64
	stop     chan struct{}

	mu        sync.Mutex
	running   int
	waiting   int
	freed     chan struct{}
	conns     map[net.Conn]struct{}
	coldUntil time.Time
	writes    int
}

// start listens, serves and publishes the target's entry. Without an ip it starts again at its address.
func (t *target) start(ip string) error {
	address := ip + ":0"
	if ip == "" {
		address = t.listener.Addr().String()
	}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	t.mu.Lock()
	t.listener, t.stop, t.freed = l, make(chan struct{}), make(chan struct{}, 1)
	t.conns, t.writes, t.running, t.waiting = map[net.Conn]struct{}{}, 0, 0, 0
	t.born = time.Now().UnixMilli()
	stop := t.stop
	t.mu.Unlock()
	t.write()
	go t.accept(l)
	go t.publish(stop)
	t.rig.onClose(func() { _ = l.Close() })
	t.rig.logf("target %s of %s at %s", t.id, t.service, l.Addr())
	return nil
}

func (t *target) publish(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(heartbeat):
			t.write()
		}
	}
}

// setCold makes the target cold for the given time, from its next entry on.
func (t *target) setCold(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldUntil = time.Now().Add(d)
}

// cold reports whether the target is cold.
func (t *target) cold(at time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return at.Before(t.coldUntil)
}

// write writes the target's entry to the store.
func (t *target) write() {
	t.mu.Lock()
	t.writes++
	entry := map[string]any{
		"service": t.service, "address": t.listener.Addr().String(), "zone": t.zone, "version": "v1", "slots": t.slots,
		"state": "ready", "warmup-left-ms": max(time.Until(t.coldUntil).Milliseconds(), 0), "seq": t.writes, "born": t.born,
	}
	t.mu.Unlock()
	t.rig.put("servers/"+t.id, entry)
}

// crash closes the listener and all connections; the requests in flight get no answer.
func (t *target) crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.stop)
	_ = t.listener.Close()
	for c := range t.conns {
		_ = c.Close()
	}
}

func (t *target) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go t.serve(c)
	}
}

func (t *target) serve(c net.Conn) {
	t.mu.Lock()
	t.conns[c] = struct{}{}
	t.mu.Unlock()
	defer func() {
		_ = c.Close()
		t.mu.Lock()
		delete(t.conns, c)
		t.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	// late is an extra copy of the previous answer on this connection, which was to the request lateID.
	var late []byte
	var lateID string
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		q.RemoteAddr = c.RemoteAddr().String()
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if late != nil {
			t.rig.logf("extra copy from %s of its answer %.12q to %s, where the response to %s is expected", t.id, late, lateID, q.Header.Get("X-Request-Id"))
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer := t.handle(q)
		if _, err := c.Write(answer); err != nil {
			return
		}
		if t.extra != nil && t.extra() {
			late, lateID = answer, q.Header.Get("X-Request-Id")
		}
	}
}

// handle runs or refuses one request and returns the answer.
func (t *target) handle(q *http.Request) []byte {
	id, at := q.Header.Get("X-Request-Id"), time.Now()
	switch expected := q.Header.Get("X-Expect-Instance"); {
	case expected != "" && expected != t.id:
		return t.answer("421 Misdirected Request", q, "X-Not-Run: 1\r\nX-Instance-Id: "+t.id+"\r\n", "")
	case id == "":
		return t.answer("400 Bad Request", q, "X-Not-Run: 1\r\n", "")
	}
	if t.arrived != nil {
		t.arrived(q, at)
	}
	deadline := at.Add(time.Hour)
	if ms, err := strconv.Atoi(q.Header.Get("X-Deadline-Ms")); err == nil {
		deadline = at.Add(time.Duration(ms) * time.Millisecond)
	}
	born, ok := t.enter(deadline)
	if !ok {
		t.rig.logf("refused %s by %s", id, t.id)
		return t.answer("503 Service Unavailable", q, "X-Not-Run: 1\r\n", "")
	}
	defer t.leave(born)
	t.rig.logf("run %s %s %s by %s", id, q.Method, q.RequestURI, t.id)
	if t.began != nil {
		t.began(t, q)
	}
	stamp := "X-Server-Stamp: " + t.id + "." + id + "\r\n"
	if work := t.work(); at.Add(work).Before(deadline) {
		time.Sleep(work)
	} else {
		time.Sleep(time.Until(deadline))
		return t.answer("504 Gateway Timeout", q, stamp, "")
	}
	body := "done by " + t.id
	if t.records != nil {
		body = t.records(t, id)
	}
	return t.answer("200 OK", q, stamp, body)
}

// enter waits for a slot and returns the start of the target that it belongs to. It returns false if the queue is full, or
// the deadline passes in it.
func (t *target) enter(deadline time.Time) (int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	born := t.born
	if t.running >= t.slots && t.waiting >= t.queue {
		return 0, false
	}
	t.waiting++
	for born == t.born && t.running >= t.slots && time.Now().Before(deadline) {
		freed := t.freed
		t.mu.Unlock()
		select {
		case <-freed:
		case <-time.After(5 * time.Millisecond):
		}
		t.mu.Lock()
	}
	if born != t.born {
		return 0, false
	}
	t.waiting--
	if t.running >= t.slots {
		return 0, false
	}
	t.running++
	return born, true
}

// leave frees a slot, unless the target has ended since the slot was taken.
func (t *target) leave(born int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if born != t.born {
		return
	}
	t.running--
	select {
	case t.freed <- struct{}{}:
	default:
	}
}

func (t *target) answer(status string, q *http.Request, headers, body string) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Appendf(nil, "HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Server-Load: %d,%d,%d\r\nKeep-Alive: timeout=30\r\n%sContent-Length: %d\r\n\r\n%s",
		status, q.Header.Get("X-Request-Id"), t.running, t.waiting, t.slots, headers, len(body), body)
}
