package gracefulhttp

import (
	"net"
	"time"
)

// listener tracks the connections that it accepts.
type listener struct {
	net.Listener
	tracker *Tracker
}

// Accept returns the next connection. After the tracker's Stop it closes the listener once no connection waits.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		return l.tracker.add(c), nil
	}
	if l.tracker.isStopping() {
		_ = l.Close()
		return nil, net.ErrClosed
	}
	return nil, err
}

// Close closes the listener.
func (l *listener) Close() error {
	err := l.Listener.Close()
	l.tracker.forgetListener(l)
	return err
}

// stop ends Accept after acceptLinger.
func (l *listener) stop() {
	if x, ok := l.Listener.(interface{ SetDeadline(t time.Time) error }); ok && x.SetDeadline(time.Now().Add(acceptLinger)) == nil {
		return
	}
	// Close must not run here: the tracker's mutex is held.
	_ = l.Listener.Close()
}
