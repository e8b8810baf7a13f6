package scatter_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/retrybudget"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
	"github.com/knapweedpoint/knapweedpoint/internal/scatter"
	"github.com/knapweedpoint/knapweedpoint/internal/scriptedtarget"
	"github.com/knapweedpoint/knapweedpoint/internal/sendgate"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
	"github.com/knapweedpoint/knapweedpoint/internal/targetselect"
	"github.com/knapweedpoint/knapweedpoint/internal/workers"
)

const (
	shardCount = 20
	margin     = 10 * time.Millisecond
	objective  = 150 * time.Millisecond
)

// run searches over twenty shards with one target each. anomalies holds the behaviour of unusual targets by the index
// of their shard; the first absent shards have no target. notices holds answers that came before the search, by the
// index of the shard.
func run(t *testing.T, anomalies map[int]scriptedtarget.Behaviour, absent int, notices map[int]targetcall.Result) (scatter.Outcome, scatter.Trace, time.Duration, []scriptedtarget.Call) {
	t.Helper()
	shards := lo.Times(shardCount, func(i int) string { return fmt.Sprintf("s%02d", i) })
	var targets []inventory.Target
	behaviours := map[string]scriptedtarget.Behaviour{}
	for i, s := range shards[absent:] {
		targets = append(targets, inventory.Target{ID: "t-" + s, Service: s, Slots: 2})
		behaviours["t-"+s] = lo.ValueOr(anomalies, absent+i, scriptedtarget.Behaviour{Delay: 20 * time.Millisecond})
	}
	inv := inventory.New(1, targets)
	sender := &scriptedtarget.Sender{Behave: func(target string, _ int) scriptedtarget.Behaviour { return behaviours[target] }}
	pool := &workers.Pool{}
	f := &forward.Forwarder{
		Sender: sender, Selector: &targetselect.Selector{}, Gate: &sendgate.Gate{}, Budget: &retrybudget.Budget{},
		Inventory: func() inventory.Inventory { return inv }, Workers: pool,
	}
	for i, result := range notices {
		f.Gate.Observe(targets[i-absent], result, time.Now(), time.Now())
	}
	g := scatter.Gatherer{Runner: scatter.Direct{Forwarder: f}, Margin: margin}
	d := routetable.Scatter{Shards: shards, TopK: 5, MinCoverage: 0.89}
	start := time.Now()
	out, trace := g.Run(context.Background(), scatter.Search{
		Route:   routetable.Route{Host: "h", Prefix: "/p/", Idempotent: true, Attempts: 2, Objective: objective, Destination: d},
		Scatter: d, Request: targetcall.Request{ID: "r"}, ReceivedAt: start, Deadline: start.Add(time.Second),
	})
	elapsed := time.Since(start)
	time.Sleep(2 * time.Second)
	pool.Close()
	return out, trace, elapsed, sender.Calls()
}

func TestSearchByWhatTheShardsDo(t *testing.T) {
	slow := scriptedtarget.Behaviour{Delay: 400 * time.Millisecond}
	hanging := scriptedtarget.Behaviour{Delay: time.Hour}
	fails := scriptedtarget.Behaviour{Delay: time.Millisecond, Result: scriptedtarget.Failure("t")}
	refuses := scriptedtarget.Behaviour{Delay: time.Millisecond, Result: targetcall.Refused{}}
	for _, c := range []struct {
		name      string
		anomalies map[int]scriptedtarget.Behaviour
		absent    int
		want      string
		missing   int
		elapsed   time.Duration
	}{
		{"all parts arrive", nil, 0, "done", 0, 20 * time.Millisecond},
		{"two late: answered at the cutoff", map[int]scriptedtarget.Behaviour{1: slow, 2: hanging}, 0, "partial", 2, objective - margin},
		{"three late: waits for enough parts", map[int]scriptedtarget.Behaviour{1: slow, 2: hanging, 3: hanging}, 0, "partial", 2, 400 * time.Millisecond},
		{"three hang: fails at the deadline", map[int]scriptedtarget.Behaviour{1: hanging, 2: hanging, 3: hanging}, 0, "failed", 0, time.Second},
		{"two fail", map[int]scriptedtarget.Behaviour{1: fails, 2: fails}, 0, "partial", 2, 20 * time.Millisecond},
		{"three fail: fails at once", map[int]scriptedtarget.Behaviour{1: fails, 2: fails, 3: fails}, 0, "failed", 0, time.Millisecond},
		{"two have no target", nil, 2, "partial", 2, 20 * time.Millisecond},
		{"three have no target: nothing is sent", nil, 3, "notRun", 0, 0},
		{"all refuse: nothing has run", lo.SliceToMap(lo.Range(shardCount), func(i int) (int, scriptedtarget.Behaviour) { return i, refuses }), 0, "notRun", 0, time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out, trace, elapsed, calls := run(t, c.anomalies, c.absent, nil)
				require.Equal(t, c.want, out.Label())
				require.Equal(t, c.elapsed, elapsed)
				if m, ok := out.(scatter.Merged); ok {
					require.Equal(t, c.missing, m.Missing)
					require.Len(t, m.Signatures, shardCount-c.missing)
					require.Len(t, lo.Uniq(m.Signatures), len(m.Signatures))
					require.Len(t, trace.Missing, c.missing)
				}
				if c.want == "notRun" && c.elapsed == 0 {
					require.Empty(t, calls)
				}
			})
		})
	}
}

// Guards against searches that wait for shards whose only target is leaving or has asked for a hold, and against
// refusals with a time at which too few shards have a target.
func TestSearchByTheNoticesOfTargets(t *testing.T) {
	leaving := targetcall.Answered{Status: 200, Signature: "s", Leaving: true}
	hold := func(seconds float64) targetcall.Result {
		return targetcall.Refused{RetryAfter: targetcall.RetryDelay{Seconds: seconds}}
	}
	for _, c := range []struct {
		name    string
		notices map[int]targetcall.Result
		want    string
		missing int
		refused scatter.NotRun
	}{
		{"one leaves", map[int]targetcall.Result{1: leaving}, "partial", 1, scatter.NotRun{}},
		{"two hold", map[int]targetcall.Result{1: hold(3), 2: hold(60)}, "partial", 2, scatter.NotRun{}},
		{"three leave", map[int]targetcall.Result{1: leaving, 2: leaving, 3: leaving}, "notRun", 0, scatter.NotRun{Reason: forward.ReasonNoTarget, RetryAfter: 500 * time.Millisecond}},
		{"three hold", map[int]targetcall.Result{1: hold(3), 2: hold(2), 3: hold(60)}, "notRun", 0, scatter.NotRun{Reason: forward.ReasonTargetsHoldOff, RetryAfter: 2 * time.Second}},
		{"four hold", map[int]targetcall.Result{1: hold(3), 2: hold(2), 3: hold(60), 4: hold(4)}, "notRun", 0, scatter.NotRun{Reason: forward.ReasonTargetsHoldOff, RetryAfter: 3 * time.Second}},
		{"two leave, one holds off", map[int]targetcall.Result{1: leaving, 2: leaving, 3: hold(0.25)}, "notRun", 0, scatter.NotRun{Reason: forward.ReasonTargetsHoldOff, RetryAfter: 250 * time.Millisecond}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out, _, elapsed, calls := run(t, nil, 0, c.notices)
				require.Equal(t, c.want, out.Label())
				for i := range c.notices {
					require.NotContains(t, lo.Map(calls, func(call scriptedtarget.Call, _ int) string { return call.Target }), fmt.Sprintf("t-s%02d", i))
				}
				if m, ok := out.(scatter.Merged); ok {
					require.Equal(t, c.missing, m.Missing)
					require.Equal(t, 20*time.Millisecond, elapsed, "no wait for the missing parts")
					return
				}
				require.Equal(t, c.refused, out)
				require.Zero(t, elapsed, "refused at once")
				require.Empty(t, calls)
			})
		})
	}
}

func TestRequiredShards(t *testing.T) {
	for _, c := range []struct {
		n     int
		share float64
		want  int
	}{{20, 0.89, 18}, {20, 0.9, 18}, {20, 0.75, 15}, {30, 0.89, 27}, {90, 0.95, 86}, {20, 0, 1}, {1, 1, 1}, {10, 0.7, 7}} {
		require.Equal(t, c.want, scatter.RequiredShards(c.n, c.share), "%d shards, share %g", c.n, c.share)
	}
}
