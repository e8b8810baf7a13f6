package grace_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/grace"
	"github.com/knapweedpoint/knapweedpoint/internal/stoplimit"
)

const length = 6 * time.Second

// TestAdmission guards against a stopping daemon that takes requests which it cannot answer before it exits.
func TestAdmission(t *testing.T) {
	const answerBy = 5100 * time.Millisecond
	for _, c := range []struct {
		name string
		// now and deadline count from the signal to stop.
		now, deadline time.Duration
		want          time.Duration
		refused       bool
	}{
		{"long, at the signal", 0, 30 * time.Second, answerBy, false},
		{"short, at the signal", 0, time.Second, time.Second, false},
		{"long, at the end of the first half", length/2 - 1, 30 * time.Second, answerBy, false},
		{"until the last moment, late", 4 * time.Second, answerBy, answerBy, false},
		{"longer than the daemon lives, after the first half", length / 2, answerBy + 1, answerBy, true},
		{"short, after the listener closed", 4 * time.Second, 5 * time.Second, 5 * time.Second, false},
		{"short, after every answer is due", answerBy + 1, answerBy + time.Millisecond, answerBy, true},
		{"after the exit", 2 * length, 2*length + time.Second, answerBy, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p grace.Period
			start := time.Now()
			deadline, ok := p.Admit(start.Add(c.now), start.Add(c.deadline))
			require.True(t, ok, "not begun")
			require.Equal(t, start.Add(c.deadline), deadline, "not begun")
			p.Begin(start, 0, length)
			deadline, ok = p.Admit(start.Add(c.now), start.Add(c.deadline))
			require.Equal(t, !c.refused, ok)
			require.Equal(t, c.want, deadline.Sub(start))
		})
	}
}

func TestTimesOfAStopAreInOrder(t *testing.T) {
	var p grace.Period
	start := time.Now()
	_, ok := p.Admit(start.Add(length), start.Add(2*length))
	require.True(t, ok)
	p.Begin(start, 0, length)
	_, ok = p.Admit(start.Add(length), start.Add(2*length))
	require.False(t, ok)
	p.Begin(start.Add(time.Second), 0, 2*length)
	require.Equal(t, 3720*time.Millisecond, p.CloseAt().Sub(start), "a second signal does not prolong the period")
	require.True(t, p.CloseAt().Before(p.AbandonAt()))
	require.True(t, p.AbandonAt().Before(p.ExitAt()))
	require.True(t, p.ExitAt().Before(start.Add(length)))
}

// TestLateStopAnswersEarlyAndExitsLate guards against a daemon that handled its signal late, or only seemed to, and that cuts
// requests before it has had the usual time to answer them.
func TestLateStopAnswersEarlyAndExitsLate(t *testing.T) {
	const late = 2 * time.Second
	var p, punctual grace.Period
	start := time.Now()
	p.Begin(start, late, length)
	punctual.Begin(start, 0, length)
	require.Equal(t, punctual.CloseAt(), p.CloseAt())
	require.Equal(t, punctual.AbandonAt(), p.AbandonAt())
	require.Equal(t, punctual.ExitAt().Add(late), p.ExitAt())
}

// TestAnswersAreDueBeforeTheExit guards against requests that are still in flight when the daemon exits, whenever they
// began.
func TestAnswersAreDueBeforeTheExit(t *testing.T) {
	for _, c := range []struct {
		name string
		// length is the length of the period. boundAt and goneAt count from the signal; the caller stays if goneAt is 0.
		length, boundAt, goneAt time.Duration
		doneAt                  time.Duration
		due                     bool
	}{
		{"before the signal", length, -time.Second, 0, 5100 * time.Millisecond, true},
		{"after the signal", length, time.Second, 0, 5100 * time.Millisecond, true},
		{"after every answer is due", length, 5500 * time.Millisecond, 0, 5500 * time.Millisecond, true},
		{"the caller leaves before", length, -time.Second, time.Second, time.Second, false},
		{"the caller leaves after", length, -time.Second, 5200 * time.Millisecond, 5100 * time.Millisecond, true},
		{"no grace", 0, -time.Second, 0, 0, true},
		{"an hour", time.Hour, -time.Second, 0, 51 * time.Minute, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var p grace.Period
				start := time.Now().Add(time.Second)
				caller, leave := context.WithCancel(t.Context())
				defer leave()
				if c.goneAt > 0 {
					time.AfterFunc(time.Until(start.Add(c.goneAt)), leave)
				}
				time.AfterFunc(time.Until(start), func() { p.Begin(time.Now(), 0, c.length) })
				time.Sleep(time.Until(start.Add(c.boundAt)))
				ctx, release := p.Bind(caller)
				defer release()
				require.False(t, stoplimit.Reached(t.Context()))
				<-ctx.Done()
				require.Equal(t, c.doneAt, time.Since(start))
				require.Equal(t, c.due, stoplimit.Reached(ctx))
				time.Sleep(time.Second)
				require.Equal(t, c.due, stoplimit.Reached(ctx), "the cause stays")
			})
		})
	}
}

func TestReleasedContextIsNotDue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var p grace.Period
		ctx, release := p.Bind(t.Context())
		require.NoError(t, ctx.Err())
		release()
		require.ErrorIs(t, ctx.Err(), context.Canceled)
		p.Begin(time.Now(), 0, length)
		time.Sleep(length)
		require.False(t, stoplimit.Reached(ctx))
	})
}
