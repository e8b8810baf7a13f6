package cutproxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
)

// Proxy passes the requests on each of its connections on to a server, and ends the connection after the first response.
type Proxy struct {
	// Upstream is the address of the server.
	Upstream string

	mu       sync.Mutex
	missing  int
	reset    bool
	length   int
	requests int
	listener net.Listener
	group    sync.WaitGroup
}

// Start listens on a free loopback port and returns its address.
func (p *Proxy) Start() (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	p.listener = l
	p.group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.group.Go(func() { p.serve(c) })
		}
	})
	return l.Addr().String(), nil
}

// Close closes the listener and waits for the connections to end.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.group.Wait()
}

// Cut makes the responses that follow end before their last missing bytes, with a reset if it is set.
func (p *Proxy) Cut(missing int, reset bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.missing, p.reset = missing, reset
}

// Length returns the length in bytes of the last response of the server.
func (p *Proxy) Length() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.length
}

// Requests returns the number of requests so far.
func (p *Proxy) Requests() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requests
}

func (p *Proxy) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	response, err := p.forward(q)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.length = len(response)
	p.requests++
	missing, reset := p.missing, p.reset
	p.mu.Unlock()
	_, _ = c.Write(response[:max(len(response)-missing, 0)])
	if tcp, ok := c.(*net.TCPConn); ok && reset {
		// Without lingering, the close sends a reset.
		_ = tcp.SetLinger(0)
	}
}

// forward sends a request to the server and returns the bytes of the response.
func (p *Proxy) forward(q *http.Request) ([]byte, error) {
	c, err := (&net.Dialer{}).DialContext(context.Background(), "tcp4", p.Upstream)
	if err != nil {
		return nil, err
	}
	defer func() { _ = c.Close() }()
	q.Close = true
	if err := q.Write(c); err != nil {
		return nil, err
	}
	return io.ReadAll(c)
}
