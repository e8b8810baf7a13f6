package scatter_test

import (
	"context"
	"fmt"
	"sync"
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
	"github.com/knapweedpoint/knapweedpoint/internal/shardplan"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
	"github.com/knapweedpoint/knapweedpoint/internal/targetselect"
	"github.com/knapweedpoint/knapweedpoint/internal/workers"
)

const (
	usualWork = 18 * time.Millisecond
	slowWork  = 127 * time.Millisecond
)

// slottedTargets has two slots for each target and a queue of twelve calls; it refuses further calls.
type slottedTargets struct {
	work  func(target string, at time.Duration) time.Duration
	began time.Time
	mu    sync.Mutex
	// slots and queues hold the calls of each target, running and waiting.
	slots, queues map[string]chan struct{}
}

// Send implements targetcall.Sender.
func (s *slottedTargets) Send(ctx context.Context, c targetcall.Call) targetcall.Result {
	id := c.Target.ID
	s.mu.Lock()
	if s.slots[id] == nil {
		s.slots[id], s.queues[id] = make(chan struct{}, 2), make(chan struct{}, 12)
	}
	slots, queue := s.slots[id], s.queues[id]
	s.mu.Unlock()
	load := targetcall.Load{Known: true, Running: len(slots), Waiting: len(queue)}
	select {
	case queue <- struct{}{}:
	default:
		return targetcall.Refused{Load: load}
	}
	select {
	case slots <- struct{}{}:
		<-queue
	case <-ctx.Done():
		<-queue
		return targetcall.Unknown{Err: ctx.Err()}
	}
	time.Sleep(s.work(id, time.Since(s.began)))
	<-slots
	a := scriptedtarget.Success(id)
	a.Load = load
	return a
}

// omittingGatherer returns a gatherer that leaves out late shards, and a search of n shards. The shards in lone have one target,
// the others three.
func omittingGatherer(n, lone int, omit bool, sender targetcall.Sender, pool *workers.Pool) (*scatter.Gatherer, scatter.Search) {
	shards := lo.Times(n, func(i int) string { return fmt.Sprintf("s%02d", i) })
	inv := inventory.New(1, lo.FlatMap(shards, func(s string, i int) []inventory.Target {
		return lo.Times(lo.Ternary(i < lone, 1, 3), func(c int) inventory.Target {
			return inventory.Target{ID: fmt.Sprint(s, "-", c), Service: s, Slots: 2}
		})
	}))
	budget := &retrybudget.Budget{}
	budget.SetRule(retrybudget.Rule{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}, retrybudget.EqualShares(1))
	f := &forward.Forwarder{
		Sender: sender, Selector: &targetselect.Selector{CountsCancelled: func(string) bool { return omit }}, Gate: &sendgate.Gate{}, Budget: budget,
		Inventory: func() inventory.Inventory { return inv }, Workers: pool,
	}
	d := routetable.Scatter{Shards: shards, TopK: 5, MinCoverage: 0.95}
	return &scatter.Gatherer{Runner: scatter.Direct{Forwarder: f}, Margin: margin, OmitsLateShards: func() bool { return omit }, RefusesLate: func() bool { return omit }}, scatter.Search{
		Route:   routetable.Route{Host: "h", Prefix: "/p/", Idempotent: true, Attempts: 2, Objective: objective, Destination: d},
		Scatter: d, Request: targetcall.Request{ID: "r"},
	}
}

// loadRun counts the searches of a run: those answered after the objective or with missing shards, and those without an answer.
type loadRun struct{ searches, late, incomplete, failed int }

// searchSteadily runs 42 searches a second over 90 shards for some time.
func searchSteadily(t *testing.T, omit bool, duration time.Duration, lone int, work func(target string, at time.Duration) time.Duration) loadRun {
	t.Helper()
	began, pool := time.Now(), &workers.Pool{}
	g, search := omittingGatherer(90, lone, omit, &slottedTargets{work: work, began: began, slots: map[string]chan struct{}{}, queues: map[string]chan struct{}{}}, pool)
	var mu sync.Mutex
	var group sync.WaitGroup
	var r loadRun
	for time.Since(began) < duration {
		group.Go(func() {
			s := search
			s.ReceivedAt, s.Deadline = time.Now(), time.Now().Add(1200*time.Millisecond)
			out, _ := g.Run(context.Background(), s)
			mu.Lock()
			defer mu.Unlock()
			m, answered := out.(scatter.Merged)
			r.searches++
			r.failed += lo.Ternary(answered, 0, 1)
			r.late += lo.Ternary(answered && time.Since(s.ReceivedAt) > objective, 1, 0)
			r.incomplete += lo.Ternary(m.Missing > 0, 1, 0)
		})
		time.Sleep(time.Second / 42)
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	pool.Close()
	t.Logf("omit %v: %+v", omit, r)
	return r
}

// Guards against searches that all wait for the same slow shards, and against shards that stay left out after their
// targets are fast again.
func TestSearchesLeaveOutDifferentLateShards(t *testing.T) {
	const slow, slowFor = 5, 8 * time.Second
	work := func(id string, at time.Duration) time.Duration {
		return lo.Ternary(id < fmt.Sprintf("s%02d", slow) && at < slowFor, slowWork, usualWork)
	}
	synctest.Test(t, func(t *testing.T) {
		waiting := searchSteadily(t, false, slowFor, slow, work)
		omitting := searchSteadily(t, true, slowFor, slow, work)
		require.Greater(t, waiting.late+waiting.failed, waiting.searches*9/10)
		require.Less(t, omitting.late, omitting.searches/3)
		require.Zero(t, omitting.failed)
		recovered := searchSteadily(t, true, slowFor+6*time.Second, slow, work)
		require.Less(t, recovered.incomplete-omitting.incomplete, 6*42/2, "complete again within three seconds")
	})
}

// Guards against shards that are left out in calm, because one of their targets pauses while another is free, and against
// refusals while all shards are slow.
func TestOmissionNeedsLateShards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 200 * time.Millisecond
		calm := searchSteadily(t, true, 5*time.Second, 0, func(id string, at time.Duration) time.Duration {
			// One target in each second pauses: its calls end when the pause does.
			into := at % time.Second
			return usualWork + lo.Ternary(id == fmt.Sprintf("s%02d-0", int(at/time.Second)), max(pause-into, 0), 0)
		})
		require.Zero(t, calm.incomplete+calm.failed)
		slow := searchSteadily(t, true, 2*time.Second, 0, func(string, time.Duration) time.Duration { return 100 * time.Millisecond })
		require.Zero(t, slow.failed)
	})
}

// lateRunner expects some shards to answer late.
type lateRunner struct {
	scatter.Runner
	late []string
}

func (r lateRunner) ExpectedLatency(_ scatter.Search, shard string) (time.Duration, bool) {
	return time.Second, lo.Contains(r.late, shard)
}

// Guards against a search that fails although the shards that it left out could replace others that failed, and against one
// that waits for its deadline although too few shards can answer before it.
func TestSearchByTheNumberOfLateShards(t *testing.T) {
	for _, c := range []struct {
		name                  string
		late, failing, calls  int
		want                  string
		missing, expectedLate int
		elapsed               time.Duration
	}{
		{"all that may be missing are late", 2, 0, 38, "partial", 2, 2, usualWork},
		{"one fails: one of the late ones replaces it", 2, 1, 39, "partial", 2, 1, time.Millisecond + usualWork},
		{"too many are late: refused at once", 3, 0, 0, "notRun", 0, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sender := &scriptedtarget.Sender{Behave: func(target string, _ int) scriptedtarget.Behaviour {
					if c.failing > 0 && target == "s39-0" {
						return scriptedtarget.Behaviour{Delay: time.Millisecond, Result: scriptedtarget.Failure(target)}
					}
					return scriptedtarget.Behaviour{Delay: usualWork}
				}}
				pool := &workers.Pool{}
				g, s := omittingGatherer(40, 40, true, sender, pool)
				g.Runner, g.Planner = lateRunner{Runner: g.Runner, late: s.Scatter.Shards[:c.late]}, shardplan.Planner{Chance: func() float64 { return 0.5 }}
				s.ReceivedAt, s.Deadline = time.Now(), time.Now().Add(600*time.Millisecond)
				out, trace := g.Run(context.Background(), s)
				require.Equal(t, c.want, out.Label())
				require.Equal(t, c.elapsed, time.Since(s.ReceivedAt))
				require.Len(t, sender.Calls(), c.calls)
				require.Equal(t, c.expectedLate, lo.Count(lo.Values(trace.Missing), scatter.ReasonExpectedLate))
				switch x := out.(type) {
				case scatter.Merged:
					require.Equal(t, c.missing, x.Missing)
				case scatter.NotRun:
					require.Equal(t, 400*time.Millisecond, x.RetryAfter)
				}
				pool.Close()
			})
		})
	}
}
