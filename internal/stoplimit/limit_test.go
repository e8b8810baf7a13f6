package stoplimit_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/stoplimit"
)

// Guards against a stopping daemon that accepts a request which it cannot answer before it exits.
func TestLimitAcceptsOnlyWhatCanBeAnswered(t *testing.T) {
	const (
		acceptFor = 2 * time.Second
		answerIn  = 5 * time.Second
	)
	for _, c := range []struct {
		name    string
		at      time.Duration
		wait    time.Duration
		accepts bool
	}{
		{"at first, longer than the stop", time.Second, time.Minute, true},
		{"later, just in time", acceptFor, answerIn - acceptFor, true},
		{"later, just too long", acceptFor, answerIn - acceptFor + 1, false},
		{"after the last answer", answerIn + 1, time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var l stoplimit.Limit
				start := time.Now()
				require.True(t, l.Accepts(start, time.Hour))
				require.Equal(t, start.Add(time.Hour), l.Bound(start.Add(time.Hour)))
				l.Set(start.Add(acceptFor), start.Add(answerIn))
				l.Set(start.Add(time.Hour), start.Add(time.Hour))
				time.Sleep(c.at)
				now := time.Now()
				require.Equal(t, c.accepts, l.Accepts(now, c.wait))
				require.Equal(t, start.Add(answerIn), l.Bound(start.Add(time.Hour)))
				require.Equal(t, start, l.Bound(start))
			})
		})
	}
}

// Guards against a request that is still in flight after the time of the last answer.
func TestLimitEndsContextsAtTheLastAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l stoplimit.Limit
		before, cancelBefore := l.Context(context.Background())
		defer cancelBefore()
		l.Set(time.Now().Add(time.Second), time.Now().Add(2*time.Second))
		time.Sleep(time.Second)
		during, cancelDuring := l.Context(context.Background())
		defer cancelDuring()
		time.Sleep(time.Second - 1)
		synctest.Wait()
		require.NoError(t, before.Err())
		require.NoError(t, during.Err())
		require.False(t, l.IsReached())
		time.Sleep(1)
		synctest.Wait()
		require.Error(t, before.Err())
		require.Error(t, during.Err())
		require.True(t, l.IsReached())
		late, cancelLate := l.Context(context.Background())
		defer cancelLate()
		synctest.Wait()
		require.Error(t, late.Err())
	})
}

// Guards against a request that a stopping daemon answers as if its caller had left, because the server ends its context
// before the limit does.
func TestCallerThatIsCutOffAtTheLimitHasNotLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var l stoplimit.Limit
		l.Set(time.Now(), time.Now().Add(time.Second))
		caller, leave := context.WithCancel(t.Context())
		ctx, release := l.Context(caller)
		defer release()
		time.AfterFunc(time.Second, leave)
		<-ctx.Done()
		require.True(t, stoplimit.Reached(ctx))
	})
}
