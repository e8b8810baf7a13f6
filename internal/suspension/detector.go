package suspension

import (
	"time"

	"golang.org/x/sys/unix"
)

// MinDetected is the shortest suspension that is detected; shorter ones can't be distinguished from scheduling delays.
const MinDetected = 200 * time.Millisecond

// Detector compares the monotonic clock with one that counts suspended time; its zero value is ready to use.
type Detector struct {
	// BootClock replaces the clock that counts suspended time, CLOCK_BOOTTIME.
	BootClock func() (time.Duration, error)

	monotonic time.Time
	boot      time.Duration
	started   bool
}

// SuspendedTime returns the suspended time since the last call. It returns 0 when that is less than MinDetected, on the
// first call, and when the clock can't be read.
func (d *Detector) SuspendedTime(now time.Time) time.Duration {
	read := d.BootClock
	if read == nil {
		read = bootClock
	}
	boot, err := read()
	if err != nil {
		return 0
	}
	suspended := (boot - d.boot) - now.Sub(d.monotonic)
	first := !d.started
	d.monotonic, d.boot, d.started = now, boot, true
	if first || suspended < MinDetected {
		return 0
	}
	return suspended
}

func bootClock() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
