package targetpool

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is the number of the Linux socket option TCP_USER_TIMEOUT, whose value is in milliseconds.
	tcpUserTimeout = 18
	// ackTimeout is how long sent bytes may stay unacknowledged: five round trips between regions and a pause of the
	// target.
	ackTimeout = 1000 * time.Millisecond
	// With probeIdle, probeInterval and probeCount, TCP keep-alive detects an unresponsive peer within two seconds.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
)

// DialTCP opens a connection that fails soon after its peer stops responding.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
		Control:         setUserTimeout,
	}
	return d.DialContext(ctx, "tcp4", address)
}

// DialContext is DialTCP with the signature that http.Transport expects.
func DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return DialTCP(ctx, address)
}

// setUserTimeout sets ackTimeout on a new socket.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
