package stopsignal

import (
	"os"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSignalOfAStalledProcessCountsFromTheStall guards against a stop that is counted from the moment at which a process
// without processor time handles the signal, and that so ends after SIGKILL.
func TestSignalOfAStalledProcessCountsFromTheStall(t *testing.T) {
	for _, c := range []struct {
		name string
		// checks and handled are times before the end of the test; want is the estimate.
		checks        []time.Duration
		handled, want time.Duration
	}{
		{"no check yet but the first", []time.Duration{0}, 50, 50},
		{"no stall", []time.Duration{0, 100, 200}, 290, 290},
		{"late within the tolerance", []time.Duration{0, 150, 300}, 450, 450},
		{"stall before the signal", []time.Duration{0, 100}, 360, 100},
		{"check between the stall and the signal", []time.Duration{0, 100, 1000}, 1040, 100},
		{"stall that ended earlier", []time.Duration{0, 1000, 1100}, 1150, 1150},
		{"two stalls in a row", []time.Duration{0, 1000}, 1400, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			start := time.Now()
			var r Receiver
			for _, at := range c.checks {
				r.check(start.Add(at * time.Millisecond))
			}
			require.Equal(t, c.want*time.Millisecond, r.arrival(start.Add(c.handled*time.Millisecond)).Sub(start))
		})
	}
}

func TestSignalOfARunningProcessCountsFromItsArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		signals := make(chan os.Signal)
		r := Receiver{Signals: signals}
		for _, after := range []time.Duration{0, 30 * time.Millisecond, interval, 7 * time.Second} {
			at := time.Now().Add(after)
			time.AfterFunc(after, func() { signals <- syscall.SIGHUP })
			s, arrived := r.Receive()
			require.Equal(t, syscall.SIGHUP, s)
			require.Equal(t, at, arrived)
		}
		close(signals)
		s, _ := r.Receive()
		require.Nil(t, s)
	})
}
