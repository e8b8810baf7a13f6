package scatter_test

import (
	"context"
	"fmt"
	"slices"
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
	loadShards = 90
	usualWork  = 18 * time.Millisecond
	slowWork   = 127 * time.Millisecond
)

// slottedTargets has two slots for each target and a queue of twelve calls; it refuses further calls.
type slottedTargets struct {
	work func(target string) time.Duration
	mu   sync.Mutex
	// held counts the calls of each target, running and waiting.
	held  map[string]int
	slots map[string]chan struct{}
}

// Send implements targetcall.Sender.
func (s *slottedTargets) Send(ctx context.Context, c targetcall.Call) targetcall.Result {
	id := c.Target.ID
	s.mu.Lock()
	if s.slots[id] == nil {
		s.slots[id] = make(chan struct{}, 2)
	}
	slots, held := s.slots[id], s.held[id]
	load := targetcall.Load{Known: true, Running: min(held+1, 2), Waiting: max(held-1, 0)}
	if held >= 14 {
		s.mu.Unlock()
		return targetcall.Refused{Load: load}
	}
	s.held[id]++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.held[id]--
		s.mu.Unlock()
	}()
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return targetcall.Unknown{Err: ctx.Err()}
	}
	time.Sleep(s.work(id))
	<-slots
	a := scriptedtarget.Success(id)
	a.Load = load
	return a
}

// loadRun is the result of searches at a steady rate.
type loadRun struct {
	// late counts the answers after the objective, incomplete those with missing shards, failed the searches without an answer.
	searches, late, incomplete, failed int
	// elapsed holds the latency of each answer.
	elapsed []time.Duration
}

// searchSteadily runs 42 searches a second for some time. Shards in lone have one target, the others three.
func searchSteadily(t *testing.T, omit bool, duration time.Duration, lone int, work func(target string, at time.Duration) time.Duration) loadRun {
	t.Helper()
	began := time.Now()
	shards := lo.Times(loadShards, func(i int) string { return fmt.Sprintf("s%02d", i) })
	var targets []inventory.Target
	for i, s := range shards {
		for c := range lo.Ternary(i < lone, 1, 3) {
			targets = append(targets, inventory.Target{ID: fmt.Sprint(s, "-", c), Service: s, Slots: 2})
		}
	}
	inv := inventory.New(1, targets)
	pool := &workers.Pool{}
	budget := &retrybudget.Budget{}
	budget.SetRule(retrybudget.Rule{Ratio: 0.2, Slack: 20, Window: 10 * time.Second}, retrybudget.EqualShares(1))
	f := &forward.Forwarder{
		Sender: &slottedTargets{
			held: map[string]int{}, slots: map[string]chan struct{}{},
			work: func(id string) time.Duration { return work(id, time.Since(began)) },
		},
		Selector: &targetselect.Selector{CountsCancelled: omit}, Gate: &sendgate.Gate{}, Budget: budget,
		Inventory: func() inventory.Inventory { return inv }, Workers: pool,
	}
	g := scatter.Gatherer{Runner: scatter.Direct{Forwarder: f}, Margin: margin, OmitsLateShards: func() bool { return omit }}
	d := routetable.Scatter{Shards: shards, TopK: 5, MinCoverage: 0.95}
	var mu sync.Mutex
	var group sync.WaitGroup
	var r loadRun
	for time.Since(began) < duration {
		group.Go(func() {
			start := time.Now()
			out, _ := g.Run(context.Background(), scatter.Search{
				Route:   routetable.Route{Host: "h", Prefix: "/p/", Idempotent: true, Attempts: 2, Objective: objective, Destination: d},
				Scatter: d, Request: targetcall.Request{ID: "r"}, ReceivedAt: start, Deadline: start.Add(1200 * time.Millisecond),
			})
			took := time.Since(start)
			mu.Lock()
			defer mu.Unlock()
			r.searches++
			m, answered := out.(scatter.Merged)
			if !answered {
				r.failed++
				return
			}
			r.elapsed = append(r.elapsed, took)
			r.late += lo.Ternary(took > objective, 1, 0)
			r.incomplete += lo.Ternary(m.Missing > 0, 1, 0)
		})
		time.Sleep(time.Second / 42)
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	pool.Close()
	slices.Sort(r.elapsed)
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
		t.Logf("without omission: %d of %d late, %d failed, median %v", waiting.late, waiting.searches, waiting.failed, waiting.elapsed[len(waiting.elapsed)/2])
		omitting := searchSteadily(t, true, slowFor, slow, work)
		t.Logf("with omission: %d of %d late, %d failed, median %v", omitting.late, omitting.searches, omitting.failed, omitting.elapsed[len(omitting.elapsed)/2])
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
		pause := 200 * time.Millisecond
		calm := searchSteadily(t, true, 5*time.Second, 0, func(id string, at time.Duration) time.Duration {
			// One target in each second pauses: its calls end when the pause does.
			if into := at % time.Second; id == fmt.Sprintf("s%02d-0", int(at/time.Second)) && into < pause {
				return pause - into + usualWork
			}
			return usualWork
		})
		require.Zero(t, calm.incomplete)
		require.Zero(t, calm.failed)
		slow := searchSteadily(t, true, 2*time.Second, 0, func(string, time.Duration) time.Duration { return 100 * time.Millisecond })
		t.Logf("all slow: %d of %d late", slow.late, slow.searches)
		require.Zero(t, slow.failed)
	})
}

// lateRunner expects some shards to answer late.
type lateRunner struct {
	scatter.Direct
	late []string
}

func (r lateRunner) ExpectedLatency(_ scatter.Search, shard string) (time.Duration, bool) {
	return time.Second, lo.Contains(r.late, shard)
}

// Guards against a search that fails although the shards that it left out could replace others that failed.
func TestOmittedShardsReplaceFailedOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		shards := lo.Times(shardCount, func(i int) string { return fmt.Sprintf("s%02d", i) })
		inv := inventory.New(1, lo.Map(shards, func(s string, _ int) inventory.Target { return inventory.Target{ID: s, Service: s, Slots: 2} }))
		sender := &scriptedtarget.Sender{Behave: func(target string, _ int) scriptedtarget.Behaviour {
			if target == "s01" {
				return scriptedtarget.Behaviour{Delay: time.Millisecond, Result: scriptedtarget.Failure(target)}
			}
			return scriptedtarget.Behaviour{Delay: usualWork}
		}}
		pool := &workers.Pool{}
		f := &forward.Forwarder{
			Sender: sender, Selector: &targetselect.Selector{}, Gate: &sendgate.Gate{}, Budget: &retrybudget.Budget{},
			Inventory: func() inventory.Inventory { return inv }, Workers: pool,
		}
		g := scatter.Gatherer{
			Runner: lateRunner{Direct: scatter.Direct{Forwarder: f}, late: []string{"s04", "s07"}}, Margin: margin,
			OmitsLateShards: func() bool { return true }, Planner: shardplan.Planner{Chance: func() float64 { return 0.5 }},
		}
		start := time.Now()
		d := routetable.Scatter{Shards: shards, TopK: 5, MinCoverage: 0.89}
		out, trace := g.Run(context.Background(), scatter.Search{
			Route:   routetable.Route{Host: "h", Prefix: "/p/", Idempotent: true, Attempts: 2, Objective: objective, Destination: d},
			Scatter: d, Request: targetcall.Request{ID: "r"}, ReceivedAt: start, Deadline: start.Add(time.Second),
		})
		require.Equal(t, 2, out.(scatter.Merged).Missing)
		require.Contains(t, lo.Values(trace.Missing), scatter.ReasonExpectedLate)
		require.Equal(t, time.Millisecond+usualWork, time.Since(start))
		require.Len(t, sender.Calls(), shardCount-1, "one of the two in place of the failed one")
		pool.Close()
	})
}

// Guards against searches that wait for their deadline although too few shards can answer before it, and against refusals of
// those that can be answered without the late shards.
func TestHopelessSearchIsRefusedAtOnce(t *testing.T) {
	for late, want := range map[int]string{2: "partial", 3: "notRun"} {
		synctest.Test(t, func(t *testing.T) {
			shards := lo.Times(shardCount, func(i int) string { return fmt.Sprintf("s%02d", i) })
			inv := inventory.New(1, lo.Map(shards, func(s string, _ int) inventory.Target { return inventory.Target{ID: s, Service: s, Slots: 2} }))
			sender, pool := &scriptedtarget.Sender{}, &workers.Pool{}
			f := &forward.Forwarder{
				Sender: sender, Selector: &targetselect.Selector{}, Gate: &sendgate.Gate{}, Budget: &retrybudget.Budget{},
				Inventory: func() inventory.Inventory { return inv }, Workers: pool,
			}
			g := scatter.Gatherer{
				Runner: lateRunner{Direct: scatter.Direct{Forwarder: f}, late: shards[:late]}, Margin: margin,
				OmitsLateShards: func() bool { return true }, Planner: shardplan.Planner{Chance: func() float64 { return 0.5 }},
			}
			start := time.Now()
			d := routetable.Scatter{Shards: shards, TopK: 5, MinCoverage: 0.89}
			out, _ := g.Run(context.Background(), scatter.Search{
				Route:   routetable.Route{Host: "h", Prefix: "/p/", Idempotent: true, Attempts: 2, Objective: objective, Destination: d},
				Scatter: d, Request: targetcall.Request{ID: "r"}, ReceivedAt: start, Deadline: start.Add(600 * time.Millisecond),
			})
			require.Equal(t, want, out.Label())
			require.Zero(t, time.Since(start))
			if x, refused := out.(scatter.NotRun); refused {
				require.Equal(t, 400*time.Millisecond, x.RetryAfter)
				require.Empty(t, sender.Calls())
			}
			pool.Close()
		})
	}
}
