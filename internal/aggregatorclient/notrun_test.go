package aggregatorclient_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/retrybudget"
	"github.com/knapweedpoint/knapweedpoint/internal/scatter"
	"github.com/knapweedpoint/knapweedpoint/internal/scriptedtarget"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

// Guards against searches that are told that they may have run although all targets refused them: at the deadline, while
// aggregators still wait to try again, and at once, when the retry budget is used up.
func TestRefusedSearchesHaveNotRun(t *testing.T) {
	for _, c := range []struct {
		name  string
		slack float64
		// ran is set if one target answers.
		ran  bool
		want string
	}{
		{"retries until the deadline", 1e6, false, "notRun"},
		{"no retries", 0, false, "notRun"},
		{"one target answers", 0, true, "failed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(func(target string, _ int) scriptedtarget.Behaviour {
					if c.ran && target[:2] == "s7" {
						return scriptedtarget.Behaviour{}
					}
					return scriptedtarget.Behaviour{Delay: time.Millisecond, Result: targetcall.Refused{}}
				})
				for _, a := range f.aggregators {
					a.Forwarder.Budget.SetRule(retrybudget.Rule{Slack: c.slack, Window: 10 * time.Second}, retrybudget.EqualShares(1))
				}
				out, _, elapsed := f.searchWithin(context.Background(), f.requester(), 400*time.Millisecond)
				f.close()
				require.Equal(t, c.want, out.Label())
				require.LessOrEqual(t, elapsed, 400*time.Millisecond)
				if x, ok := out.(scatter.NotRun); ok {
					require.Positive(t, x.RetryAfter)
				}
			})
		})
	}
}
