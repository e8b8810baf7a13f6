package aggregatorclient_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedpoint/knapweedpoint/internal/aggregator"
	"github.com/knapweedpoint/knapweedpoint/internal/aggregatorclient"
	"github.com/knapweedpoint/knapweedpoint/internal/assignment"
	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/partswire"
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
	fleetSize  = 48
	shardCount = 90
	copies     = 3
	objective  = 80 * time.Millisecond
	margin     = 10 * time.Millisecond
	work       = 8 * time.Millisecond
	hop        = time.Millisecond
)

// fleet is a set of daemons that share the same targets. Messages between them pass through a simulated network that
// may drop or delay them.
type fleet struct {
	sender      *scriptedtarget.Sender
	inventory   inventory.Inventory
	table       blackboard.Cell[assignment.Table]
	pool        workers.Pool
	group       errgroup.Group
	aggregators map[string]*aggregator.Aggregator
	roots       map[string]*aggregatorclient.Client

	mu sync.Mutex
	// calls counts the calls that were sent to each daemon.
	calls map[string]int
	// drops reports whether a message is dropped. kind is the kind of the message, such as "call", "reply" or
	// "cancel"; n counts the messages of that kind from one daemon to the other.
	drops func(from, to, kind string, n int) bool
	// messageCounts counts the messages by sender, receiver and kind.
	messageCounts map[string]int
	// incarnations counts the starts of each daemon after the first one. unknownStarts are the daemons whose latest start the
	// others do not know of, and earlier those of an earlier version, which do not know of calls that are sent again.
	incarnations  map[string]uint64
	unknownStarts map[string]bool
	earlier       map[string]bool
	// attempts are those of the searches' route.
	attempts int
	// revoked is that of the searches. priorities are those of the calls, as aggregators decode them.
	revoked    func() bool
	priorities []int
	// delay returns how much later than one hop a message is delivered.
	delay func(to, kind string) time.Duration
}

// link is the network of the fleet as one daemon sees it.
type link struct {
	fleet *fleet
	name  string
}

func name(i int) string { return fmt.Sprint("vm", i) }

func shardNames() []string {
	return lo.Times(shardCount, func(i int) string { return fmt.Sprint("s", i) })
}

func newFleet(behave func(target string, n int) scriptedtarget.Behaviour) *fleet {
	f := &fleet{
		sender: &scriptedtarget.Sender{Behave: behave}, aggregators: map[string]*aggregator.Aggregator{}, roots: map[string]*aggregatorclient.Client{},
		calls: map[string]int{}, messageCounts: map[string]int{}, incarnations: map[string]uint64{}, unknownStarts: map[string]bool{},
		earlier: map[string]bool{}, attempts: 2,
	}
	f.deploy(func(int) string { return "" }, fleetSize)
	return f
}

// deploy places the daemons and the copies of each shard in availability zones by their numbers. minProduct is the
// product of daemons and shards from which on shards have aggregators.
func (f *fleet) deploy(zone func(i int) string, minProduct int) {
	var targets []inventory.Target
	for i, s := range shardNames() {
		for c := range copies {
			targets = append(targets, inventory.Target{ID: fmt.Sprint(s, "-", c), Service: s, Slots: 2, AvailabilityZone: zone(i + c)})
		}
	}
	f.inventory = inventory.New(1, targets)
	members := lo.Times(fleetSize, func(i int) assignment.Member {
		return assignment.Member{Name: name(i), AvailabilityZone: zone(i), Capacity: 100}
	})
	homes := lo.Without(lo.Uniq(lo.Times(fleetSize, zone)), "")
	f.table.Set(assignment.New(members, homes, minProduct))
	for i := range fleetSize {
		f.add(name(i), zone(i))
	}
}

func (f *fleet) add(name, zone string) {
	f.aggregators[name] = f.newAggregator(name, zone, f.process(name))
	f.roots[name] = &aggregatorclient.Client{
		Name: name, AvailabilityZone: zone, Direct: scatter.Direct{Forwarder: f.aggregators[name].Forwarder}, Table: &f.table,
		Peers: link{fleet: f, name: name},
	}
}

func (f *fleet) newAggregator(name, zone string, incarnation uint64) *aggregator.Aggregator {
	budget := &retrybudget.Budget{}
	budget.SetRule(retrybudget.Rule{Ratio: 0.2, Slack: 200, Window: 10 * time.Second}, retrybudget.EqualShares(1))
	forwarder := &forward.Forwarder{
		Sender: f.sender, Selector: &targetselect.Selector{AvailabilityZone: zone}, Gate: &sendgate.Gate{}, Budget: budget,
		Inventory: func() inventory.Inventory { return f.inventory }, Workers: &f.pool,
	}
	return &aggregator.Aggregator{
		Name: name, Incarnation: func() uint64 { return incarnation }, Forwarder: forwarder, Ready: func() bool { return true }, Workers: &f.pool,
	}
}

// transmit delivers a message after one hop unless it is dropped.
func (f *fleet) transmit(from, to, kind string, deliver func()) {
	f.mu.Lock()
	k := from + to + kind
	n := f.messageCounts[k]
	f.messageCounts[k]++
	if kind == "call" {
		f.calls[to]++
	}
	lost := f.drops != nil && f.drops(from, to, kind, n)
	f.mu.Unlock()
	if lost {
		return
	}
	f.group.Go(func() error {
		time.Sleep(hop)
		if f.delay != nil {
			time.Sleep(f.delay(to, kind))
		}
		deliver()
		return nil
	})
}

func (l link) Call(to string, c *gossippb.PartsCall) {
	l.fleet.mu.Lock()
	l.fleet.priorities = append(l.fleet.priorities, partswire.DecodeRoute(c).Priority)
	l.fleet.mu.Unlock()
	l.fleet.transmit(l.name, to, "call", func() {
		process := l.fleet.process(to)
		if l.fleet.earlier[to] {
			c.Resent = nil
		}
		l.fleet.aggregator(to).HandleCall(l.name, c, func(r *gossippb.PartsReply) {
			if process != l.fleet.process(to) {
				return
			}
			l.fleet.transmit(to, l.name, "reply", func() { l.fleet.roots[l.name].HandleReply(to, process, r) })
		})
	})
}

func (l link) Process(of string) uint64 {
	l.fleet.mu.Lock()
	unknown := l.fleet.unknownStarts[of]
	l.fleet.mu.Unlock()
	if unknown {
		return l.fleet.process(of) - 1
	}
	return l.fleet.process(of)
}

// process returns the incarnation of a daemon.
func (f *fleet) process(name string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return 1 + f.incarnations[name]
}

func (f *fleet) aggregator(name string) *aggregator.Aggregator {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.aggregators[name]
}

func (l link) Cancel(to string, id uint64) {
	l.fleet.transmit(l.name, to, "cancel", func() { l.fleet.aggregator(to).Cancel(l.name, id) })
}

func (l link) CallLocal(c *gossippb.PartsCall, reply func(*gossippb.PartsReply)) {
	l.fleet.aggregators[l.name].HandleCall(l.name, c, reply)
}

func (l link) Grant(to string, g *gossippb.PartsGrant) {
	l.fleet.transmit(l.name, to, "grant", func() { l.fleet.aggregator(to).Grant(l.name, g) })
}

func (l link) GrantLocal(g *gossippb.PartsGrant) { l.fleet.aggregators[l.name].Grant(l.name, g) }

func (l link) CancelLocal(id uint64) { l.fleet.aggregators[l.name].Cancel(l.name, id) }

func (l link) SendLoopback(r *gossippb.PartsReply) {
	l.fleet.transmit(l.name, l.name, "echo", func() { l.fleet.roots[l.name].HandleReply(l.name, l.fleet.process(l.name), r) })
}

// search runs one search on a daemon.
func (f *fleet) search(ctx context.Context, at string) (scatter.Outcome, scatter.Trace, time.Duration) {
	return f.searchWithin(ctx, at, 800*time.Millisecond)
}

// searchWithin runs one search with the given timeout on a daemon.
func (f *fleet) searchWithin(ctx context.Context, at string, timeout time.Duration) (scatter.Outcome, scatter.Trace, time.Duration) {
	return f.searchShards(ctx, at, timeout, shardNames())
}

// searchShards runs one search over the given shards.
func (f *fleet) searchShards(ctx context.Context, at string, timeout time.Duration, shards []string) (scatter.Outcome, scatter.Trace, time.Duration) {
	d := routetable.Scatter{Shards: shards, TopK: 20, MinCoverage: 0.95}
	g := scatter.Gatherer{Runner: f.roots[at], Margin: margin}
	start := time.Now()
	out, trace := g.Run(ctx, scatter.Search{
		Route:   routetable.Route{Host: "h", Prefix: "/p/", Idempotent: true, Attempts: f.attempts, Objective: objective, Priority: 3, Destination: d},
		Scatter: d, Request: targetcall.Request{ID: "r", Method: "GET", Path: "/p/1"}, ReceivedAt: start, Deadline: start.Add(timeout), Revoked: f.revoked,
	})
	return out, trace, time.Since(start)
}

// close waits until everything in flight has ended.
func (f *fleet) close() {
	time.Sleep(5 * time.Second)
	_ = f.group.Wait()
	f.pool.Close()
}

// targetsQueried returns the number of targets of a shard that received a call.
func (f *fleet) targetsQueried(shard string) int {
	return len(lo.UniqBy(lo.Filter(f.sender.Calls(), func(c scriptedtarget.Call, _ int) bool {
		return c.Target[:len(c.Target)-2] == shard
	}), func(c scriptedtarget.Call) string { return c.Target }))
}

func steady(string, int) scriptedtarget.Behaviour { return scriptedtarget.Behaviour{Delay: work} }

// requester returns a daemon that is not an aggregator of any shard.
func (f *fleet) requester() string {
	aggregators := lo.FlatMap(shardNames(), func(s string, _ int) []string { return f.table.Get().Aggregators("", s, name(0), "") })
	return lo.Without(lo.Times(fleetSize, name), aggregators...)[0]
}

// firstAggregator returns the aggregator that a daemon queries first for a shard.
func (f *fleet) firstAggregator(shard, requester string) string {
	return f.table.Get().Aggregators("", shard, requester, "")[0]
}

func TestSearchByWhatHappensToAHolder(t *testing.T) {
	type fault func(f *fleet, aggregator, requester string)
	drops := func(lost func(from, to, kind string, n int, aggregator string) bool) fault {
		return func(f *fleet, aggregator, _ string) {
			f.drops = func(from, to, kind string, n int) bool { return lost(from, to, kind, n, aggregator) }
		}
	}
	for _, c := range []struct {
		name    string
		fault   fault
		elapsed time.Duration
	}{
		{"nothing", nil, work + 2*hop},
		{"the call to the aggregator is lost", drops(func(_, to, kind string, n int, a string) bool { return to == a && kind == "call" && n == 0 }), objective / 2},
		{"its first reply is lost", drops(func(from, _, kind string, n int, a string) bool { return from == a && kind == "reply" && n == 0 }), objective / 2},
		{"the aggregator is dead", drops(func(from, to, _ string, _ int, a string) bool { return from == a || to == a }), objective - margin},
		{"its replies are lost", drops(func(from, _, _ string, _ int, a string) bool { return from == a }), objective - margin},
		{"the aggregator knows no targets", func(f *fleet, aggregator, _ string) { f.aggregators[aggregator].Ready = func() bool { return false } }, 30 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(steady)
				requester := f.requester()
				if c.fault != nil {
					c.fault(f, f.firstAggregator("s0", requester), requester)
				}
				out, _, elapsed := f.search(context.Background(), requester)
				require.Equal(t, "done", out.Label())
				m := out.(scatter.Merged)
				require.Len(t, lo.Uniq(m.Signatures), shardCount)
				require.LessOrEqual(t, elapsed, c.elapsed)
				f.close()
				for _, s := range shardNames() {
					require.LessOrEqual(t, f.targetsQueried(s), 2, s)
				}
			})
		})
	}
}

// Guards against the failover delay in every search after an aggregator has died. In a large fleet each daemon detects
// this by itself.
func TestUnresponsiveAggregatorIsDeprioritized(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(steady)
		requester := f.requester()
		dead := f.firstAggregator("s0", requester)
		f.drops = func(from, to, _ string, _ int) bool { return from == dead || to == dead }
		_, _, first := f.search(context.Background(), requester)
		require.Greater(t, first, objective/2)
		callsBefore := f.calls[dead]
		_, _, second := f.search(context.Background(), requester)
		require.Equal(t, work+2*hop, second)
		require.Equal(t, callsBefore, f.calls[dead])
		f.close()
	})
}

// Guards against needless failover on a slow VM that reads the replies of all its aggregators only after their
// timeout.
func TestRepliesThatWereNotReadAreNoSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(steady)
		requester := f.requester()
		f.delay = func(to, kind string) time.Duration {
			if to == requester && (kind == "reply" || kind == "echo") {
				return objective/2 + 5*time.Millisecond
			}
			return 0
		}
		f.search(context.Background(), requester)
		require.LessOrEqual(t, lo.Sum(lo.Values(f.calls)), 2*assignment.Buckets, "calls are sent again, and only to the same aggregators")
		f.close()
		for _, s := range shardNames() {
			require.Equal(t, 1, f.targetsQueried(s), s)
		}
	})
}

// Guards against exceeding the attempts of the route: all targets pause, so that each shard needs a hedge, while the
// messages of one aggregator or of a whole kind are dropped or delayed.
func TestNoShardRunsOnMoreTargetsThanAttempts(t *testing.T) {
	type faultFunc func(f *fleet, aggregator string, start time.Time)
	after := func(d time.Duration, kinds ...string) faultFunc {
		return func(f *fleet, aggregator string, start time.Time) {
			f.drops = func(from, to, kind string, _ int) bool {
				return (from == aggregator || to == aggregator) && time.Since(start) >= d && (len(kinds) == 0 || lo.Contains(kinds, kind))
			}
		}
	}
	delay := func(d time.Duration, kinds ...string) faultFunc {
		return func(f *fleet, _ string, _ time.Time) {
			f.delay = func(_, kind string) time.Duration { return lo.Ternary(lo.Contains(kinds, kind), d, 0) }
		}
	}
	for _, c := range []struct {
		name  string
		fault faultFunc
	}{
		{"cut off after the first reply", after(15 * time.Millisecond)},
		{"cut off after the hedges", after(35 * time.Millisecond)},
		{"replies are lost", after(0, "reply")},
		{"replies are lost after the first", after(15*time.Millisecond, "reply")},
		{"grants are lost", after(0, "grant")},
		{"cancellations are lost", after(0, "cancel", "reply")},
		{"replies are late", delay(objective, "reply")},
		{"replies and cancellations are late", delay(objective/2, "reply", "cancel")},
		{"calls are late", delay(objective/3, "call")},
		{"grants are late", delay(objective/3, "grant")},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(func(string, int) scriptedtarget.Behaviour {
					return scriptedtarget.Behaviour{Delay: 300 * time.Millisecond}
				})
				requester := f.requester()
				c.fault(f, f.firstAggregator("s0", requester), time.Now())
				f.search(context.Background(), requester)
				f.close()
				for _, s := range shardNames() {
					require.LessOrEqual(t, f.targetsQueried(s), 2, s)
				}
			})
		})
	}
}

// One of the three targets of each shard pauses; its aggregator must hedge to another target within the objective.
func TestAggregatorHedgesPausedTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(steady)
		requester := f.requester()
		f.search(context.Background(), requester)
		paused := map[string]bool{}
		f.sender.Behave = func(target string, _ int) scriptedtarget.Behaviour {
			shard := target[:len(target)-2]
			if !paused[shard] {
				paused[shard] = true
				return scriptedtarget.Behaviour{Delay: 200 * time.Millisecond}
			}
			return scriptedtarget.Behaviour{Delay: work}
		}
		out, _, elapsed := f.search(context.Background(), requester)
		require.Equal(t, "done", out.Label())
		require.LessOrEqual(t, elapsed, objective-margin)
		f.close()
	})
}

// Guards against duplicate work: an aggregator reads a call only after the requesting daemon has cancelled it and
// queried another aggregator.
func TestCallThatArrivesAfterItsCancellationIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(steady)
		requester := f.requester()
		delayed := f.firstAggregator("s0", requester)
		f.delay = func(to, kind string) time.Duration {
			if to == delayed && kind == "call" {
				return objective
			}
			return 0
		}
		out, _, _ := f.search(context.Background(), requester)
		require.Equal(t, "done", out.Label())
		f.close()
		for _, s := range shardNames() {
			require.Equal(t, 1, f.targetsQueried(s), s)
		}
	})
}

func TestGoneCallerCancelsTargetCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(func(string, int) scriptedtarget.Behaviour {
			return scriptedtarget.Behaviour{Delay: 200 * time.Millisecond}
		})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		out, _, _ := f.search(ctx, f.requester())
		require.Equal(t, "failed", out.Label())
		f.close()
		calls := f.sender.Calls()
		require.NotEmpty(t, calls)
		require.True(t, lo.EveryBy(calls, func(c scriptedtarget.Call) bool { return c.Cancelled }))
	})
}

// All targets of a few shards hang; aggregators must not hold back the parts of the other shards until these answer.
func TestAvailablePartsAreSentBeforeTheCutoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hanging := []string{"s0", "s1", "s2"}
		f := newFleet(func(target string, _ int) scriptedtarget.Behaviour {
			if lo.Contains(hanging, target[:len(target)-2]) {
				return scriptedtarget.Behaviour{Delay: time.Hour}
			}
			return scriptedtarget.Behaviour{Delay: work}
		})
		out, trace, elapsed := f.search(context.Background(), f.requester())
		require.Equal(t, "partial", out.Label())
		require.Equal(t, len(hanging), out.(scatter.Merged).Missing)
		require.Len(t, trace.Missing, len(hanging))
		require.Equal(t, objective-margin, elapsed)
		f.close()
	})
}

// Guards against a search that spends its time on trying one aggregator after the other: all aggregators have just
// started, know no targets and refuse the call.
func TestSearchRefusedByAllAggregatorsEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(steady)
		requester := f.requester()
		for _, a := range f.aggregators {
			a.Ready = func() bool { return false }
		}
		out, _, elapsed := f.search(context.Background(), requester)
		require.Contains(t, []string{"notRun", "failed"}, out.Label())
		require.LessOrEqual(t, elapsed, 2*assignment.AggregatorsPerBucket*hop)
		f.close()
		require.Empty(t, f.sender.Calls())
	})
}

// Guards against a search that goes to the next aggregator after its key was revoked, though nothing of it ran, against the end of
// one that may run, and against aggregators that do not know its priority.
func TestRevokedSearchIsNotSentAgain(t *testing.T) {
	for shards, want := range map[int]string{1: "notRun", shardCount: "done"} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(steady)
			f.revoked = func() bool { return true }
			requester := f.requester()
			f.aggregators[f.firstAggregator("s0", requester)].Ready = func() bool { return false }
			out, _, _ := f.searchShards(context.Background(), requester, time.Second, shardNames()[:shards])
			f.close()
			require.Equal(t, want, out.Label())
			require.Equal(t, want == "done", f.targetsQueried("s0") > 0)
			require.Equal(t, []int{3}, lo.Uniq(f.priorities))
		})
	}
}

func TestSearchSendsAtMostOneCallPerBucket(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(steady)
		f.search(context.Background(), f.requester())
		require.LessOrEqual(t, lo.Sum(lo.Values(f.calls)), assignment.Buckets)
		f.close()
	})
}

func TestOddBlocksAreNotUsed(t *testing.T) {
	for _, c := range []struct {
		name    string
		corrupt func(parts []*gossippb.Part) []*gossippb.Part
		want    string
	}{
		{"a valid block", func(parts []*gossippb.Part) []*gossippb.Part { return parts }, "done"},
		{"a shard that was not in the call", func(parts []*gossippb.Part) []*gossippb.Part {
			return append(parts, &gossippb.Part{Shard: 4000, Signature: "x"})
		}, "failed"},
		{"a shard twice", func(parts []*gossippb.Part) []*gossippb.Part {
			return append(parts, &gossippb.Part{Shard: 0, Signature: "x"})
		}, "failed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(steady)
				requester := f.requester()
				f.roots[requester].Peers = forger{link: link{fleet: f, name: requester}, corrupt: c.corrupt}
				out, _, _ := f.search(context.Background(), requester)
				require.Equal(t, c.want, out.Label())
				f.close()
			})
		})
	}
}

// forger answers each call itself, with a single block that corrupt may change.
type forger struct {
	link
	corrupt func(parts []*gossippb.Part) []*gossippb.Part
}

func (f forger) Call(to string, c *gossippb.PartsCall) {
	parts := lo.Map(c.GetShards(), func(s string, i int) *gossippb.Part { return &gossippb.Part{Shard: uint32(i), Signature: s} })
	f.fleet.roots[f.name].HandleReply(to, f.fleet.process(to), &gossippb.PartsReply{Id: c.GetId(), Blocks: []*gossippb.PartsBlock{{Parts: f.corrupt(parts)}}})
}
