package targetpool

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/allowance"
	"github.com/knapweedpoint/knapweedpoint/internal/intake"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/traffic"
)

// readBuffer holds a usual answer in one read.
const readBuffer = 4 << 10

// Conn is one connection to one target.
type Conn struct {
	net.Conn
	// Reader reads what the target sends, as far as Allowance goes.
	Reader *bufio.Reader
	// Allowance bounds the answer that is read.
	Allowance *allowance.Reader
	// Reused is set when the connection has carried a call before.
	Reused  bool
	target  string
	service string
	zone    string
	meter   *traffic.Meter
	until   time.Time
}

func newConn(c net.Conn, t inventory.Target, budget *intake.Budget, meter *traffic.Meter) *Conn {
	out := &Conn{Conn: c, target: t.ID, service: t.Service, zone: t.AvailabilityZone, meter: meter}
	out.Allowance = &allowance.Reader{From: received{conn: out}, Budget: budget}
	out.Reader = bufio.NewReaderSize(out.Allowance, readBuffer)
	return out
}

// Write sends and counts.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.Add(traffic.Requests, c.zone, n)
	return n, err
}

// received reads what the target sends and counts it.
type received struct{ conn *Conn }

// Read reads on.
func (r received) Read(p []byte) (int, error) {
	n, err := r.conn.Conn.Read(p)
	r.conn.meter.Add(traffic.Answers, r.conn.zone, n)
	return n, err
}

// quiet reports whether nothing has arrived and the target has not closed the connection.
func (c *Conn) quiet() bool {
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
	silent := false
	err = raw.Control(func(fd uintptr) {
		_, _, e := syscall.Recvfrom(int(fd), peek[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = e == syscall.EAGAIN || e == syscall.EWOULDBLOCK
	})
	return err == nil && silent
}
