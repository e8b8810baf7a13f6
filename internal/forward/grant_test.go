package forward_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/retrybudget"
	"github.com/knapweedpoint/knapweedpoint/internal/scriptedtarget"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

// Guards against a search that loses a part because its retry, which had to wait for a grant, goes to the target that has
// just failed, and against such retries beyond the retry budget.
func TestRetryThatWaitedForAGrantGoesToAnotherTarget(t *testing.T) {
	broken := targetcall.Unknown{Err: scriptedtarget.ErrReset}
	for _, c := range []struct {
		name    string
		targets []string
		slack   float64
		want    string
		sends   int
	}{
		{"another target is free", []string{"a", "b"}, 20, "done", 2},
		{"no other target", []string{"a"}, 20, "lost", 1},
		{"no retry budget", []string{"a", "b"}, 0, "lost", 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				failing := ""
				x := newFixture(func(target string, _ int) scriptedtarget.Behaviour {
					if failing == "" {
						failing = target
					}
					if target == failing {
						return scriptedtarget.Behaviour{Delay: time.Millisecond, Result: broken}
					}
					return scriptedtarget.Behaviour{Delay: 5 * time.Millisecond}
				}, c.targets...)
				x.forwarder.Budget.SetRule(retrybudget.Rule{Slack: c.slack, Window: 10 * time.Second}, retrybudget.EqualShares(1))
				j := job(true)
				grantedAt := time.Now().Add(50 * time.Millisecond)
				j.MayResend = func() bool { return !time.Now().Before(grantedAt) }
				out, _ := x.forwarder.Run(context.Background(), j)
				require.Equal(t, c.want, out.Label())
				require.Len(t, x.sender.Calls(), c.sends)
				x.close()
			})
		})
	}
}
