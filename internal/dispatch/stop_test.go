package dispatch_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/dispatch"
	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/scriptedtarget"
)

// TestStoppingDaemonAnswersBeforeItsExit guards against requests that a stopping daemon passes on although they may outlast
// it, and against requests that it has not answered when it exits.
func TestStoppingDaemonAnswersBeforeItsExit(t *testing.T) {
	const (
		grace    = 600 * time.Millisecond
		answerBy = 510 * time.Millisecond
	)
	hangs := scriptedtarget.Behaviour{Delay: time.Hour}
	timedOut := dispatch.Lost{Reason: forward.ReasonTimeout, Timeout: true}
	stopping := dispatch.NotRun{Reason: dispatch.ReasonStopping, RetryAfter: dispatch.RetryAfterStopping}
	for _, c := range []struct {
		name   string
		path   string
		target scriptedtarget.Behaviour
		// sent and answered count from the signal to stop; the timeout of the routes is 1 s.
		sent, deadline, answered time.Duration
		want                     dispatch.Answer
	}{
		{"before the signal", "/one/1", hangs, -100 * time.Millisecond, 0, answerBy, timedOut},
		{"search before the signal", "/all/1", hangs, -100 * time.Millisecond, 0, answerBy, timedOut},
		{"at first", "/one/1", hangs, 100 * time.Millisecond, 0, answerBy, timedOut},
		{"search at first", "/all/1", hangs, 100 * time.Millisecond, 0, answerBy, timedOut},
		{"later, fits", "/one/1", scriptedtarget.Behaviour{}, 400 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond, dispatch.Forwarded{Answer: scriptedtarget.Success("t")}},
		{"later, may outlast", "/one/1", scriptedtarget.Behaviour{}, 400 * time.Millisecond, 0, 400 * time.Millisecond, stopping},
		{"search later, may outlast", "/all/1", scriptedtarget.Behaviour{}, 400 * time.Millisecond, 0, 400 * time.Millisecond, stopping},
		{"split later, may outlast", "/split/1", scriptedtarget.Behaviour{}, 400 * time.Millisecond, 0, 400 * time.Millisecond, stopping},
		{"after all answers", "/one/1", scriptedtarget.Behaviour{}, answerBy + 1, 20 * time.Millisecond, answerBy + 1, stopping},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newFixture(c.target)
				x.configure()
				signal := time.Now().Add(time.Second)
				time.AfterFunc(time.Until(signal), func() { x.dispatcher.Grace.Begin(signal, 0, grace) })
				time.Sleep(time.Until(signal.Add(c.sent)))
				require.Equal(t, c.want, x.send(c.path, c.deadline))
				require.Equal(t, c.answered, time.Since(signal))
				time.Sleep(2 * time.Second)
				x.pool.Close()
			})
		})
	}
}
