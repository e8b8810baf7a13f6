package forward_test

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/scriptedtarget"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

// load is one kind of calls in a simulation.
type load struct {
	priority  int
	perSecond float64
	from, to  time.Duration
}

// tally counts what became of the calls of one kind.
type tally struct{ calls, onTime int }

func (k tally) onTimeShare() float64 { return float64(k.onTime) / float64(k.calls) }

// machine is a target with two slots and a queue of twelve calls.
type machine struct {
	// ends holds when its calls end; free holds when its slots become free.
	ends []time.Time
	free [2]time.Time
}

// serve returns what the target does with a call of the given service time. It refuses a call without one, as if other daemons filled it.
func (m *machine) serve(took time.Duration, now time.Time) scriptedtarget.Behaviour {
	m.ends = lo.Filter(m.ends, func(at time.Time, _ int) bool { return at.After(now) })
	if len(m.ends) >= 14 || took == 0 {
		return scriptedtarget.Behaviour{Delay: time.Millisecond, Result: targetcall.Refused{Load: targetcall.Load{Known: true, Running: 2, Waiting: 12, Slots: 2}}}
	}
	slot := lo.Ternary(m.free[0].Before(m.free[1]), 0, 1)
	start := lo.Ternary(m.free[slot].After(now), m.free[slot], now)
	m.free[slot] = start.Add(took)
	m.ends = append(m.ends, m.free[slot])
	return scriptedtarget.Behaviour{Delay: m.free[slot].Sub(now) + time.Millisecond}
}

// simulation runs calls with a service time of about 20 ms and an objective of 100 ms at five targets, which can run 500 of
// them in a second.
type simulation struct {
	service func(target string, after time.Duration) float64
	loads   []load
	queue   bool
}

func (s simulation) run(t *testing.T) (tallies map[int]tally, refused float64, calls []scriptedtarget.Call) {
	machines, start, n := map[string]*machine{}, time.Now(), 0
	var mu sync.Mutex
	x := newFixture(func(target string, _ int) scriptedtarget.Behaviour {
		mu.Lock()
		defer mu.Unlock()
		if machines[target] == nil {
			machines[target] = &machine{}
		}
		took := time.Duration((14 + 12*rand.Float64()) * s.service(target, time.Since(start)) * float64(time.Millisecond))
		b := machines[target].serve(took, time.Now())
		if b.Result != nil {
			n++
		}
		return b
	}, "a", "b", "c", "d", "e")
	x.forwarder.Selector.LearnCapacity, x.forwarder.QueueCalls = s.queue, func(string) bool { return s.queue }
	x.forwarder.Selector.AvailabilityZone = "zone-a"
	tallies = map[int]tally{}
	var running sync.WaitGroup
	for _, l := range s.loads {
		running.Go(func() {
			for time.Sleep(l.from); time.Since(start) < l.to; time.Sleep(time.Duration(rand.ExpFloat64() / l.perSecond * float64(time.Second))) {
				running.Go(func() {
					j, began := job(true), time.Now()
					j.Route.Priority, j.Deadline = l.priority, began.Add(400*time.Millisecond)
					out, _ := x.forwarder.Run(context.Background(), j)
					_, done := out.(forward.Done)
					mu.Lock()
					defer mu.Unlock()
					k := tallies[l.priority]
					k.calls++
					k.onTime += lo.Ternary(done && time.Since(began) <= j.Route.Objective, 1, 0)
					tallies[l.priority] = k
				})
			}
		})
	}
	running.Wait()
	x.close()
	usage := x.forwarder.TakeQueueUsage()
	require.Zero(t, usage.Waiting+usage.Services, "nothing is left in the queue")
	calls = x.sender.Calls()
	t.Logf("%+v, %d of %d sends refused, queue %+v", tallies, n, len(calls), usage)
	return tallies, float64(n) / float64(len(calls)), calls
}

func usual(string, time.Duration) float64 { return 1 }

// shareAfter returns the share of the sends after the given time that went to a target.
func shareAfter(calls []scriptedtarget.Call, target string, after time.Duration) float64 {
	late := lo.Filter(calls, func(c scriptedtarget.Call, _ int) bool { return c.SentAt.Sub(calls[0].SentAt) > after })
	return float64(lo.CountBy(late, func(c scriptedtarget.Call) bool { return c.Target == target })) / float64(len(late))
}

// Guards against refused sends, late urgent calls, kinds that starve and calls that wait beside free targets, in the overloads
// that the queue is for. What targets refuse must stay under 2% of the sends.
func TestOverloads(t *testing.T) {
	const second = time.Second
	loads := func(scale float64, more ...load) []load {
		return append(more, load{priority: 0, perSecond: 100 * scale, to: 8 * second}, load{priority: 2, perSecond: 50 * scale, to: 8 * second})
	}
	for _, c := range []struct {
		name    string
		service func(target string, after time.Duration) float64
		loads   []load
		// urgent and other are the least shares of calls that are done in time.
		urgent, other float64
	}{
		{"calm", usual, loads(1), 0.99, 0.99},
		{"pauses in calm", func(target string, after time.Duration) float64 {
			paused := (after+time.Duration(target[0])*second/3)%(2*second) - 250*time.Millisecond
			return 1 + max(-paused.Seconds(), 0)/0.02
		}, loads(1), 0.97, 0.97},
		{"burst of the least urgent", usual, loads(1, load{priority: 3, perSecond: 800, from: 2 * second, to: 6 * second}), 0.97, 0.9},
		{"burst of the most urgent", usual, loads(1, load{priority: 0, perSecond: 600, from: 2 * second, to: 6 * second}), 0.6, 0.3},
		{"a fifth slow for a while", func(target string, after time.Duration) float64 {
			return lo.Ternary(target == "a" && after > second && after < 4*second, 10.0, 1)
		}, loads(2), 0.97, 0.97},
		{"neighbours", func(target string, after time.Duration) float64 {
			return lo.Ternary(after%(2*second) < 600*time.Millisecond && target != "b", 2.5, 1)
		}, loads(1), 0.95, 0.95},
		{"full targets beside free ones", func(target string, _ time.Duration) float64 {
			return lo.Ternary(target < "c", 0.0, 1)
		}, loads(1.5), 0.97, 0.97},
		{"all cold", func(_ string, after time.Duration) float64 { return lo.Ternary(after < 3*second, 4.0, 1) }, loads(1), 0.6, 0.4},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tallies, refused, calls := simulation{service: c.service, loads: c.loads, queue: true}.run(t)
				require.Less(t, refused, 0.02)
				require.GreaterOrEqual(t, tallies[0].onTimeShare(), c.urgent)
				require.GreaterOrEqual(t, tallies[2].onTimeShare(), c.other)
				if c.name == "a fifth slow for a while" {
					require.Greater(t, shareAfter(calls, "a", 6*second), 0.08, "used again")
				}
			})
		})
	}
}

// Guards against slots that stay taken, and calls that wait for ever, after a job in the queue has been given up; against
// hedges that take slots of a full service; and against all calls being released because late ones are cancelled, which ejects
// their target.
func TestJobsThatEndLeaveTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(always(scriptedtarget.Behaviour{Delay: 300 * time.Millisecond}), "a")
		x.forwarder.Selector.LearnCapacity, x.forwarder.QueueCalls = true, func(string) bool { return true }
		var running sync.WaitGroup
		results := make([]string, 40)
		for i := range results {
			time.Sleep(time.Millisecond)
			ctx, cancel := context.WithTimeout(context.Background(), lo.Ternary(i%2 == 0, time.Hour, time.Duration(i)*20*time.Millisecond))
			running.Go(func() {
				defer cancel()
				out, trace := x.forwarder.Run(ctx, job(true))
				results[i] = out.Label()
				assert.Zero(t, trace.Hedged)
			})
		}
		running.Wait()
		x.close()
		require.Subset(t, results, []string{"done", "lost", "notRun"})
		require.Less(t, len(x.sender.Calls()), 20, "the target handles two calls well in each 300 ms")
		usage := x.forwarder.TakeQueueUsage()
		require.Positive(t, usage.Late)
		require.Zero(t, usage.Waiting+usage.Services)
	})
}
