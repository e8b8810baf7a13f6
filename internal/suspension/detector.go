package suspension

import (
	"time"

	"golang.org/x/sys/unix"
)

// Least is the shortest suspension that is noticed; shorter ones differ from scheduling delays by nothing.
const Least = 200 * time.Millisecond

// Detector compares the steady clock with one that counts suspended time; its zero value is ready to use.
type Detector struct {
	// Boot replaces the clock that counts suspended time.
	Boot func() (time.Duration, error)

	steady time.Time
	boot   time.Duration
	begun  bool
}

// Lost returns the time that passed unseen since the last call, 0 when it is less than Least or not known.
func (d *Detector) Lost(now time.Time) time.Duration {
	read := d.Boot
	if read == nil {
		read = bootClock
	}
	boot, err := read()
	if err != nil {
		return 0
	}
	lost := (boot - d.boot) - now.Sub(d.steady)
	first := !d.begun
	d.steady, d.boot, d.begun = now, boot, true
	if first || lost < Least {
		return 0
	}
	return lost
}

func bootClock() (time.Duration, error) {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0, err
	}
	return time.Duration(t.Nano()), nil
}
