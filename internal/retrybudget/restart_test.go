package retrybudget_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/assignment"
	"github.com/knapweedpoint/knapweedpoint/internal/retrybudget"
)

// spentWhileRestarting returns the most additional sends in any window by daemons that restart in turn, one at each
// interval, and always use their whole share of the slack.
func spentWhileRestarting(daemons int, interval time.Duration, r retrybudget.Rule, aggregated bool) int {
	const (
		tick     = 250 * time.Millisecond
		downTime = time.Second
	)
	budgets := lo.Times(daemons, func(int) *retrybudget.Budget { return &retrybudget.Budget{} })
	stopAt := func(i int) time.Duration { return r.Window + time.Duration(i+1)*interval }
	var spent []int
	for since := time.Duration(0); since < 4*r.Window; since += tick {
		alive := lo.Reject(lo.Range(daemons), func(i, _ int) bool { return since >= stopAt(i) && since < stopAt(i)+downTime })
		table := assignment.New(lo.Map(alive, func(i, _ int) assignment.Member {
			return assignment.Member{Name: fmt.Sprint("vm", i), AvailabilityZone: fmt.Sprint(i % 3), Capacity: 100}
		}), []string{"0", "1", "2"}, 1)
		n := 0
		for _, i := range alive {
			if up := since - stopAt(i) - downTime; up >= 0 && up < tick {
				budgets[i] = &retrybudget.Budget{Restarted: true}
			}
			share := retrybudget.EqualShares(len(alive))
			if aggregated {
				own := retrybudget.AggregatorShare(table.IsAggregator("s", fmt.Sprint("vm", i)), table.AggregatorsPerShard(), len(alive))
				share = func(string) retrybudget.Share { return own }
			}
			budgets[i].SetRule(r, share)
			n += spendAll(budgets[i])
		}
		spent = append(spent, n)
		time.Sleep(tick)
	}
	most := 0
	for i := range spent {
		most = max(most, lo.Sum(spent[i:min(i+int(r.Window/tick), len(spent))]))
	}
	return most
}

// Guards against restarts, or aggregators that take over, in which daemons use slack that others have used within the
// window.
func TestRestartingDaemonsDoNotExceedTheSlack(t *testing.T) {
	for _, c := range []struct {
		daemons int
		slack   float64
	}{{13, 113}, {139, 292}, {295, 630}} {
		for _, aggregated := range []bool{false, true} {
			for _, interval := range []time.Duration{100 * time.Millisecond, 6 * time.Second} {
				t.Run(fmt.Sprint(c.daemons, " daemons every ", interval, " aggregated ", aggregated), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						r := retrybudget.Rule{Slack: c.slack, Window: 10 * time.Second}
						most := spentWhileRestarting(c.daemons, interval, r, aggregated)
						require.LessOrEqual(t, float64(most), c.slack)
						require.Positive(t, most)
					})
				})
			}
		}
	}
}

// Guards against a fleet that starts for the first time and has no slack because its daemons learn only after their start
// which of them are aggregators.
func TestFirstStartUsesItsShareAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := retrybudget.Rule{Slack: 100, Window: 10 * time.Second}
		var b retrybudget.Budget
		set := func(slack float64) {
			b.SetRule(r, func(string) retrybudget.Share { return retrybudget.Share{Slack: slack} })
		}
		set(0)
		time.Sleep(2 * time.Second)
		set(0.2)
		first := spendAll(&b)
		require.Equal(t, 17, first)
		time.Sleep(9 * time.Second)
		set(0.8)
		require.Zero(t, spendAll(&b), "a later increase counts after one window")
		time.Sleep(11 * time.Second)
		set(0.8)
		require.Equal(t, 68, spendAll(&b))
	})
}
