package targetpool

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/boundedio"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/readbudget"
	"github.com/knapweedpoint/knapweedpoint/internal/traffic"
)

// readBufferBytes is the size of the read buffer; a typical answer fits in one read.
const readBufferBytes = 4 << 10

// Conn is one connection to one target.
type Conn struct {
	net.Conn
	// Reader reads what the target sends, through Bounded.
	Reader *bufio.Reader
	// Bounded bounds the size of the answer that is read.
	Bounded *boundedio.Reader
	// Reused reports whether the connection has carried a call before.
	Reused  bool
	target  string
	service string
	zone    string
	meter   *traffic.Meter
	expires time.Time
}

func newConn(c net.Conn, t inventory.Target, budget *readbudget.Budget, meter *traffic.Meter) *Conn {
	out := &Conn{Conn: c, target: t.ID, service: t.Service, zone: t.AvailabilityZone, meter: meter}
	out.Bounded = &boundedio.Reader{Source: countingReader{conn: out}, Budget: budget}
	out.Reader = bufio.NewReaderSize(out.Bounded, readBufferBytes)
	return out
}

// Write sends to the target and counts the bytes.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.Add(traffic.Requests, c.zone, n)
	return n, err
}

// countingReader reads from the target and counts the bytes.
type countingReader struct{ conn *Conn }

// Read implements io.Reader.
func (r countingReader) Read(p []byte) (int, error) {
	n, err := r.conn.Conn.Read(p)
	r.conn.meter.Add(traffic.Answers, r.conn.zone, n)
	return n, err
}

// reusable reports whether the connection is open and has no unread bytes. Otherwise the target has closed it or has
// sent bytes that belong to no call.
func (c *Conn) reusable() bool {
	if c.Reader.Buffered() > 0 {
		return false
	}
	s, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	var peek [1]byte
	empty := false
	err = raw.Control(func(fd uintptr) {
		_, _, e := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
	})
	return err == nil && empty
}
