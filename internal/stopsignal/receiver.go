package stopsignal

import (
	"os"
	"time"
)

const (
	// interval is the time between two checks that the process runs.
	interval = 100 * time.Millisecond
	// tolerance is how late a check may be before the time since the check before it counts as a stall.
	tolerance = 50 * time.Millisecond
)

// Receiver receives signals. A process that gets no processor time handles a signal long after its arrival, while the
// platform counts the time until SIGKILL from the arrival.
type Receiver struct {
	Signals <-chan os.Signal
	// earlier and latest are the times of the last two checks.
	earlier, latest time.Time
}

// Receive returns the next signal and the earliest time at which it may have arrived: now, or the beginning of a stall that
// has only just ended. It returns nil when the channel of signals is closed.
func (r *Receiver) Receive() (os.Signal, time.Time) {
	if r.latest.IsZero() {
		r.check(time.Now())
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case s := <-r.Signals:
			return s, r.arrival(time.Now())
		case <-ticker.C:
			r.check(time.Now())
		}
	}
}

func (r *Receiver) check(now time.Time) { r.earlier, r.latest = r.latest, now }

// arrival returns the earliest time at which a signal that is handled now may have arrived. After a stall, a check may come
// before the signal.
func (r *Receiver) arrival(now time.Time) time.Time {
	switch {
	case now.Sub(r.latest) > interval+tolerance:
		return r.latest
	case !r.earlier.IsZero() && r.latest.Sub(r.earlier) > interval+tolerance:
		return r.earlier
	}
	return now
}
