package burn

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

func TestReportSumsDaemonsAndWindows(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	good := Sample{Team: "t", Group: "g", Answered: true, Covered: true, InTime: true, Worth: 1}
	late := Sample{Team: "t", Group: "g", Answered: true, Covered: true, Worth: 3}
	var a, b Ledger
	a.Add(good, now.Add(-3*time.Hour))
	for range 96 {
		a.Add(good, now.Add(-30*time.Minute))
	}
	for range 2 {
		a.Add(late, now)
		b.Add(Sample{Team: "t", Group: "g", Worth: 1}, now)
	}
	rows := Report(append(a.Series(now), b.Series(now)...), map[string]settings.Objective{"t": {GoodShare: 0.98}})
	require.Len(t, rows, 1)
	r := rows[0]
	require.Equal(t, Count{Answers: 100, Good: 96, Late: 2, Failed: 2, Worth: 104, GoodWorth: 96}, r.Long)
	require.EqualValues(t, 4, r.Short.Answers)
	require.InDelta(t, 50, r.ShortBurn, 1e-6)
	require.InDelta(t, (4.0/100)/0.02, r.LongBurn, 1e-6)
	require.InDelta(t, 1-r.LongBurn, r.BudgetLeft, 1e-6)
}

func TestLedgerExpiresAfterAnHour(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	var l Ledger
	l.Add(Sample{Team: "t", Group: "g"}, now)
	rows := Report(l.Series(now.Add(2*time.Hour)), nil)
	require.Zero(t, rows[0].Long.Answers)
	require.InDelta(t, 1, rows[0].GoodShare, 0)
}
