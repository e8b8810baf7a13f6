package retrybudget_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/retrybudget"
)

var rule = retrybudget.Rule{Ratio: 0.2, Slack: 100, Window: 10 * time.Second}

// spendAll returns how many additional sends the budget allows before it refuses one.
func spendAll(b *retrybudget.Budget) int {
	n := 0
	for b.Spend("s", time.Now()) {
		n++
	}
	return n
}

func TestBudgetOfAllDaemonsStaysUnderTheRuleInEveryWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons = 13
		budgets := make([]retrybudget.Budget, daemons)
		spent := map[int]int{}
		requests := 0
		for tick := range 400 {
			for i := range budgets {
				budgets[i].SetRule(rule, retrybudget.EqualShares(daemons))
				budgets[i].CountRequest("s", time.Now())
				spent[tick] += spendAll(&budgets[i])
			}
			requests += daemons
			time.Sleep(100 * time.Millisecond)
		}
		const window = 100
		for from := range 400 - window {
			sum := 0
			for tick := from; tick < from+window; tick++ {
				sum += spent[tick]
			}
			require.LessOrEqual(t, float64(sum), rule.Ratio*window*daemons+rule.Slack, "window from tick %d", from)
		}
	})
}

func TestBudgetIsRestoredAsTheWindowPasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b retrybudget.Budget
		b.SetRule(rule, retrybudget.EqualShares(1))
		require.Equal(t, 85, spendAll(&b))
		time.Sleep(5 * time.Second)
		require.Zero(t, spendAll(&b))
		time.Sleep(6 * time.Second)
		require.Equal(t, 85, spendAll(&b))
	})
}

func TestZeroValueAllowsNothing(t *testing.T) {
	var b retrybudget.Budget
	b.CountRequest("s", time.Now())
	require.False(t, b.Spend("s", time.Now()))
}

// A few of the daemons, such as three of 139, are aggregators of the service. Each request is counted by the daemon that
// sends it to targets.
func TestSharesOfAHeldServiceAddUpToOne(t *testing.T) {
	for _, c := range []struct{ daemons, aggregators int }{{48, 3}, {117, 3}, {139, 3}, {450, 58}} {
		slack, ratio := 0.0, 0.0
		for i := range c.daemons {
			s := retrybudget.AggregatorShare(i < c.aggregators, c.aggregators, c.daemons)
			slack += s.Slack
			ratio = max(ratio, s.Ratio)
		}
		require.LessOrEqual(t, slack, 1.0, "%d daemons", c.daemons)
		require.LessOrEqual(t, ratio, 1.0, "%d daemons", c.daemons)
	}
}

// The budget of an aggregator is larger for a service it aggregates than for one it queries only when no aggregator
// takes the search.
func TestBudgetDependsOnTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var b retrybudget.Budget
		b.SetRule(rule, func(service string) retrybudget.Share { return retrybudget.AggregatorShare(service == "held", 3, 139) })
		spend := func(service string) int {
			n := 0
			for b.Spend(service, time.Now()) {
				n++
			}
			return n
		}
		require.Greater(t, spend("held"), 10)
		require.Zero(t, spend("other"))
	})
}
