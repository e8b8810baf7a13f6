package gracefulhttp

import (
	"errors"
	"net"
	"os"
	"time"
)

const (
	// lastAccept is the time for a last round of Accept. A deadline that has passed hides connections that wait.
	lastAccept = 5 * time.Millisecond
	// maxLastRounds bounds the last rounds, because callers may still connect.
	maxLastRounds = 20
)

// listener tracks the connections that it accepts.
type listener struct {
	net.Listener
	tracker *Tracker
	// lastRounds is the number of last rounds, accepted whether the latest one has accepted a connection.
	lastRounds int
	accepted   bool
}

// Accept returns the next connection. After the tracker's Stop it closes the listener once no connection waits. It must
// be called by one goroutine only.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err == nil {
			l.accepted = true
			return l.tracker.add(c), nil
		}
		if !l.tracker.isStopping() {
			return nil, err
		}
		switch {
		case errors.Is(err, net.ErrClosed):
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return nil, err
		case l.nextRound():
			continue
		}
		_ = l.Close()
		return nil, net.ErrClosed
	}
}

// nextRound starts a last round of Accept. It reports false if the one before has accepted nothing.
func (l *listener) nextRound() bool {
	if l.lastRounds > 0 && !l.accepted || l.lastRounds == maxLastRounds {
		return false
	}
	l.lastRounds++
	l.accepted = false
	return l.setDeadline(lastAccept)
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
