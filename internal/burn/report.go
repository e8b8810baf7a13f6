package burn

import (
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// Windows over which the burn rate is computed.
const (
	ShortWindow = 5 * time.Minute
	LongWindow  = time.Hour
)

// Row is the report of one group of a team.
type Row struct {
	Team  string `json:"team"`
	Group string `json:"group"`
	// Objective is the required share of good answers.
	Objective float64 `json:"objective"`
	// Long and Short are the counts over the two windows.
	Long  Count `json:"long"`
	Short Count `json:"short"`
	// GoodShare and GoodWorthShare are the shares of good answers, unweighted and weighted by worth, over the long window.
	// They are 1 when there were no answers.
	GoodShare      float64 `json:"goodShare"`
	GoodWorthShare float64 `json:"goodWorthShare"`
	// BudgetLeft is the share of the long window's error budget that is left. It is below 0 when the budget is overspent.
	BudgetLeft float64 `json:"budgetLeft"`
	// LongBurn and ShortBurn are the burn rates: the error rate divided by the allowed one. A rate of 1 spends exactly the
	// budget.
	LongBurn  float64 `json:"longBurn"`
	ShortBurn float64 `json:"shortBurn"`
	// Rates holds the burn rates of the buckets, oldest first.
	Rates []float64 `json:"rates"`
}

// Report adds up the series of all daemons and returns one row per team and group.
func Report(series []Series, objectives map[string]settings.Objective) []Row {
	var rows []Row
	index := map[string]int{}
	sums := map[string][]Count{}
	for _, s := range series {
		key := s.Team + "\x00" + s.Group
		if _, ok := index[key]; !ok {
			index[key] = len(rows)
			rows = append(rows, Row{Team: s.Team, Group: s.Group})
			sums[key] = make([]Count, BucketCount)
		}
		for i, c := range s.Buckets[max(0, len(s.Buckets)-BucketCount):] {
			sums[key][i] = sums[key][i].WithCount(c)
		}
	}
	for key, i := range index {
		objective := lo.CoalesceOrEmpty(objectives[rows[i].Team].GoodShare, settings.DefaultObjectiveGoodShare)
		rows[i] = rows[i].WithBuckets(sums[key], objective)
	}
	return rows
}

// WithBuckets returns the row with all figures computed from the given buckets, oldest first, and the objective.
func (r Row) WithBuckets(buckets []Count, objective float64) Row {
	r.Objective = objective
	r.Long = sumWindow(buckets, LongWindow)
	r.Short = sumWindow(buckets, ShortWindow)
	r.GoodShare = share(float64(r.Long.Good), float64(r.Long.Answers))
	r.GoodWorthShare = share(r.Long.GoodWorth, r.Long.Worth)
	r.LongBurn = burnRate(r.Long, objective)
	r.ShortBurn = burnRate(r.Short, objective)
	r.BudgetLeft = 1 - r.LongBurn
	r.Rates = lo.Map(buckets, func(c Count, _ int) float64 { return burnRate(c, objective) })
	return r
}

// sumWindow adds up the newest buckets, as far back as the window.
func sumWindow(buckets []Count, window time.Duration) Count {
	n := min(int(window/BucketSpan), len(buckets))
	return lo.Reduce(buckets[len(buckets)-n:], func(sum, c Count, _ int) Count { return sum.WithCount(c) }, Count{})
}

func share(good, all float64) float64 {
	if all == 0 {
		return 1
	}
	return good / all
}

func burnRate(c Count, objective float64) float64 {
	errorRate := 1 - share(float64(c.Good), float64(c.Answers))
	if errorRate == 0 {
		return 0
	}
	return errorRate / max(1-objective, minErrorBudget)
}

// minErrorBudget prevents a division by 0 for an objective of 1.
const minErrorBudget = 1e-6
