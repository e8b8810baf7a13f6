package gracefulhttp

import (
	"errors"
	"net"
	"os"
	"time"
)

// lastAccept is the time for a last round of Accept. A deadline that has passed hides connections that wait.
const lastAccept = 5 * time.Millisecond

// listener tracks the connections that it accepts.
type listener struct {
	net.Listener
	tracker *Tracker
	// lastRound is set once connections that were hidden by the deadline are being accepted.
	lastRound bool
}

// Accept returns the next connection. After the tracker's Stop it closes the listener once no connection waits. It must
// be called by one goroutine only.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			return l.tracker.add(c), nil
		}
		if !l.tracker.isStopping() {
			return nil, err
		}
		switch {
		case errors.Is(err, net.ErrClosed):
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case !l.lastRound && l.setDeadline(lastAccept):
			l.lastRound = true
			continue
		}
		_ = l.Close()
		return nil, net.ErrClosed
	}
}

// Close closes the listener.
func (l *listener) Close() error {
	err := l.Listener.Close()
	l.tracker.forgetListener(l)
	return err
}

// stop ends Accept after acceptLinger.
func (l *listener) stop() {
	if l.setDeadline(acceptLinger) {
		return
	}
	// Close must not run here: the tracker's mutex is held.
	_ = l.Listener.Close()
}

// setDeadline ends Accept after d. It reports false if the listener has no deadlines.
func (l *listener) setDeadline(d time.Duration) bool {
	x, ok := l.Listener.(interface{ SetDeadline(t time.Time) error })
	return ok && x.SetDeadline(time.Now().Add(d)) == nil
}
