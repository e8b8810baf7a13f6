package targetpool

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	// tcpUserTimeout is Linux's number of the socket option TCP_USER_TIMEOUT, in milliseconds.
	tcpUserTimeout = 18
	// unacknowledged is how long sent bytes may wait for an acknowledgement: five round trips between regions and a pause.
	unacknowledged = 1000 * time.Millisecond
	// probeIdle, probeEvery and probeCount find connections that went silent within two seconds.
	probeIdle  = time.Second
	probeEvery = 500 * time.Millisecond
	probeCount = 2
)

// DialTCP opens a connection that fails soon after its peer falls silent.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount},
		Control:         control,
	}
	return d.DialContext(ctx, "tcp4", address)
}

// DialContext is DialTCP as an http.Transport takes it.
func DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return DialTCP(ctx, address)
}

func control(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
