package aggregatorclient_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/assignment"
	"github.com/knapweedpoint/knapweedpoint/internal/scriptedtarget"
)

const (
	// callersDone is when the callers of a stopping daemon have their answers, exitAt when it exits at the latest.
	callersDone = time.Second
	exitAt      = 5 * time.Second
)

// stop stops a daemon as an entry daemon stops on SIGTERM, and drops all messages from and to it afterwards.
func (f *fleet) stop(name string, callersDone time.Duration) {
	a := f.aggregators[name]
	ctx, cancel := context.WithTimeout(context.Background(), exitAt)
	defer cancel()
	a.Drain(time.Now().Add(exitAt))
	time.Sleep(callersDone)
	_ = a.Shutdown(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.drops = func(from, to, _ string, _ int) bool { return from == name || to == name }
}

// Guards against gathered parts that are lost because the aggregator exits while calls of other daemons are in progress,
// or takes calls that cannot end before its exit.
func TestSearchesOutliveAStoppingAggregator(t *testing.T) {
	for _, c := range []struct {
		name string
		// sentAfter is when the search is sent after the stop began, and work the time that the targets of the stopping
		// aggregator need.
		sentAfter, work time.Duration
		// callersDone is when the stopping aggregator has no callers any more.
		callersDone time.Duration
		want        string
		// ends is when the search ends at the latest, apart from the messages. Silence is noticed after half of the
		// objective at the earliest.
		ends time.Duration
	}{
		{"targets answer before the exit", -30 * time.Millisecond, 3 * time.Second, callersDone, "done", 3 * time.Second},
		{"targets answer after the exit", -30 * time.Millisecond, time.Hour, callersDone, "failed", exitAt + 30*time.Millisecond},
		{"its callers are slow", -30 * time.Millisecond, time.Hour, exitAt + 2*time.Second, "failed", exitAt + 30*time.Millisecond},
		{"sent after the stop began", 100 * time.Millisecond, 2 * time.Second, callersDone, "done", 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var slow []string
				f := newFleet(func(target string, _ int) scriptedtarget.Behaviour {
					return scriptedtarget.Behaviour{Delay: lo.Ternary(lo.Contains(slow, target[:len(target)-2]), c.work, work)}
				})
				requester := f.requester()
				stopping := f.firstAggregator("s0", requester)
				slow = lo.Filter(shardNames(), func(s string, _ int) bool { return f.firstAggregator(s, requester) == stopping })
				f.group.Go(func() error {
					time.Sleep(max(-c.sentAfter, 0))
					f.stop(stopping, c.callersDone)
					return nil
				})
				time.Sleep(max(c.sentAfter, 0))
				out, _, elapsed := f.searchWithin(context.Background(), requester, 10*time.Second)
				time.Sleep(2 * exitAt)
				f.close()
				require.Equal(t, c.want, out.Label(), "after %s", elapsed)
				require.Less(t, elapsed, c.ends+objective/2)
				for _, s := range shardNames() {
					require.LessOrEqual(t, f.targetsQueried(s), 2, s)
				}
			})
		})
	}
}

// Guards against searches that are refused although this daemon can query the targets itself, when all aggregators of a
// bucket stop at the same moment.
func TestSearchesOutliveAllAggregatorsOfABucket(t *testing.T) {
	for _, c := range []struct {
		name    string
		timeout time.Duration
		// selfReady is set if the requesting daemon knows targets.
		selfReady bool
		want      string
		targets   int
	}{
		{"ends before the exit", exitAt - time.Second, true, "done", 1},
		{"may outlast the exit", exitAt + time.Second, true, "done", 1},
		{"nobody can query the targets", exitAt + time.Second, false, "notRun", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(steady)
				requester := f.requester()
				f.aggregators[requester].Ready = func() bool { return c.selfReady }
				for _, s := range shardNames() {
					for _, a := range f.table.Get().Aggregators("", s, requester, "") {
						f.aggregators[a].Drain(time.Now().Add(exitAt))
					}
				}
				out, _, elapsed := f.searchWithin(context.Background(), requester, c.timeout)
				f.close()
				require.Equal(t, c.want, out.Label())
				require.LessOrEqual(t, elapsed, work+2*hop*assignment.AggregatorsPerBucket)
				for _, s := range shardNames() {
					require.Equal(t, c.targets, f.targetsQueried(s), s)
				}
			})
		})
	}
}

// Guards against a search that is told that it has not run although an aggregator that is silent runs it: the others
// leave and refuse it.
func TestRefusalAfterSilenceIsNotNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(steady)
		requester := f.requester()
		f.aggregators[requester].Ready = func() bool { return false }
		aggregators := f.table.Get().Aggregators("", "s0", requester, "")
		f.drops = func(from, _, _ string, _ int) bool { return from == aggregators[2] }
		for _, a := range aggregators[:2] {
			f.aggregators[a].Drain(time.Now().Add(exitAt))
		}
		out, _, _ := f.searchShards(context.Background(), requester, exitAt+time.Second, []string{"s0"})
		f.close()
		require.Equal(t, 1, f.targetsQueried("s0"))
		require.Equal(t, "failed", out.Label())
	})
}
