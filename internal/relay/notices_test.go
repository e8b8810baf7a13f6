package relay_test

import (
	"context"
	"math"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/membership"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
	"github.com/knapweedpoint/knapweedpoint/internal/policy"
	"github.com/knapweedpoint/knapweedpoint/internal/quarantine"
	"github.com/knapweedpoint/knapweedpoint/internal/relay"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
	"github.com/knapweedpoint/knapweedpoint/pkg/target"
)

// fixture is a relay with one service of one target, whose replies the test sets.
type fixture struct {
	relay  *relay.Relay
	board  *blackboard.Board
	logs   *observer.ObservedLogs
	group  sync.WaitGroup
	mu     sync.Mutex
	nextID uint64
	// reply is what the target replies at the end of serviceTime.
	reply       target.Reply
	lost        bool
	serviceTime time.Duration
	health      string
	batchSizes  []int
	checks      int
	results     []*peerpb.SubResult
}

func newFixture(slots, batchLimit int) *fixture {
	core, logs := observer.New(zap.DebugLevel)
	x := &fixture{board: &blackboard.Board{}, logs: logs, reply: target.Reply{Incarnation: "i1"}, serviceTime: 10 * time.Millisecond, health: "i1"}
	x.publish(settings.Target{Name: "t", Address: "127.0.0.1:1"}, slots, batchLimit)
	x.board.View.Set(&membership.View{Self: "vm"})
	x.relay = &relay.Relay{
		Board: x.board, Runner: x, Register: &quarantine.Register{}, Sender: x, Group: &x.group, Log: zap.New(core),
		Policy: policy.Relayed{Without: policy.Mechanisms{Ramp: true, Lease: true, Freshness: true, Quarantine: true}},
	}
	return x
}

func (x *fixture) publish(tg settings.Target, slots, batchLimit int) {
	sv := settings.Service{Slots: slots, BatchLimit: batchLimit, QueueLimit: 100, Targets: []settings.Target{tg}}
	x.board.Tree.Set(&settings.Tree{Teams: map[string]settings.Team{"team": {Services: map[string]settings.Service{"s": sv}}}})
}

func (x *fixture) Run(_ context.Context, _ string, b *target.Batch) (*target.Reply, error) {
	x.mu.Lock()
	x.batchSizes = append(x.batchSizes, len(b.Requests))
	reply, lost, d := x.reply, x.lost, x.serviceTime
	x.mu.Unlock()
	time.Sleep(d)
	if lost {
		return nil, target.Lost.New("connection lost")
	}
	if reply.Refusal == "" {
		reply.Results = lo.Map(b.Requests, func(q target.Request, _ int) target.Result { return target.Result{ID: q.ID, Status: target.StatusDone} })
	}
	return &reply, nil
}

func (x *fixture) Health(context.Context, string) (target.Health, error) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.checks++
	return target.Health{Ready: true, Incarnation: x.health}, nil
}

func (x *fixture) SendResult(_ string, r *peerpb.SubResult) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.results = append(x.results, r)
}

func (x *fixture) RequestLease([]string, *peerpb.LeaseAsk) {}
func (x *fixture) BroadcastSuspicion(*peerpb.Suspicion)    {}

// set changes the fixture while requests may be in flight.
func (x *fixture) set(change func()) {
	x.mu.Lock()
	defer x.mu.Unlock()
	change()
}

func (x *fixture) sends() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.batchSizes)
}

func (x *fixture) answer(r target.Reply) {
	x.set(func() { x.reply = r })
}

// submit submits sub-requests and lets a time pass; it returns the results that arrived meanwhile.
func (x *fixture) submit(n int, then time.Duration) []*peerpb.SubResult {
	x.mu.Lock()
	before := len(x.results)
	x.mu.Unlock()
	for range n {
		x.nextID++
		x.relay.Submit("vm", &peerpb.SubRequest{
			Id: x.nextID, Team: "team", Service: "s", Target: "t", Kind: settings.KindLookup,
			NotAfterUs: time.Now().Add(time.Hour).UnixMicro(), DeadlineUs: time.Now().Add(time.Hour).UnixMicro(),
		})
	}
	synctest.Wait()
	time.Sleep(then)
	synctest.Wait()
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.results[before:]
}

// requireOne submits one sub-request and checks whether and with which reason it came back.
func (x *fixture) requireOne(t *testing.T, status peerpb.Status, reason string) *peerpb.SubResult {
	t.Helper()
	before := x.sends()
	r, ok := lo.Find(x.submit(1, x.serviceTime), func(r *peerpb.SubResult) bool { return r.Id == x.nextID })
	require.True(t, ok)
	require.Equal(t, status, r.Status)
	require.Equal(t, reason, r.Reason)
	if reason == relay.ReasonLeaving || reason == relay.ReasonHoldsOff {
		require.Equal(t, before, x.sends())
	}
	return r
}

var (
	done     = target.Reply{Incarnation: "i1"}
	leaving  = target.Reply{Incarnation: "i1", Leaving: true}
	draining = target.Reply{Incarnation: "i1", Refusal: target.RefusalDraining}
	shedding = target.Reply{Incarnation: "i1", Refusal: target.RefusalShed}
)

func hold(seconds float64) target.Reply {
	r := shedding
	r.RetryAfter = seconds
	return r
}

// Guards against requests to a target that has said that it is leaving, also after replies without that word.
func TestNothingIsSentToALeavingTarget(t *testing.T) {
	for name, first := range map[string]target.Reply{
		"result": leaving, "refusal": draining, "shed and leaving": {Incarnation: "i1", Refusal: target.RefusalShed, Leaving: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newFixture(4, 1)
				x.answer(done)
				x.set(func() { x.serviceTime = 20 * time.Millisecond })
				x.submit(1, 0)
				x.set(func() { x.serviceTime = 10 * time.Millisecond })
				x.answer(first)
				x.submit(1, 10*time.Millisecond)
				x.answer(done)
				for range 100 {
					x.requireOne(t, peerpb.Status_NOT_RUN, relay.ReasonLeaving)
					x.relay.Expire()
					time.Sleep(500 * time.Millisecond)
				}
				n, _ := x.relay.LeftOut()
				require.Equal(t, 1, n)
				require.Equal(t, relay.ReasonLeaving, x.relay.Status()[0].LeftOut)
				require.Len(t, x.logs.FilterMessage(events.TargetLeaving.Name).All(), 1)
				x.group.Wait()
			})
		})
	}
}

// Guards against holds that are ignored, end early or late, or stop a healthy target for long.
func TestHoldByTheValueOfItsRefusal(t *testing.T) {
	for _, c := range []struct {
		name  string
		reply target.Reply
		// held is how long nothing is sent.
		held time.Duration
	}{
		{"none", shedding, 0},
		{"zero", hold(0), 0},
		{"a fraction", hold(0.25), 250 * time.Millisecond},
		{"whole seconds", hold(3), 3 * time.Second},
		{"a day", hold(86400), 5 * time.Minute},
		{"the largest number", hold(math.MaxFloat64), 5 * time.Minute},
		{"unreadable", target.Reply{Incarnation: "i1", Refusal: target.RefusalShed, Unreadable: `retryAfter "3"`}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newFixture(4, 1)
				x.answer(c.reply)
				r := x.requireOne(t, peerpb.Status_NOT_RUN, target.RefusalShed)
				require.Equal(t, c.held.Milliseconds(), r.RetryAfterMs)
				x.answer(done)
				if c.held > 0 {
					require.Equal(t, relay.ReasonHoldsOff, x.relay.Status()[0].LeftOut)
					r = x.requireOne(t, peerpb.Status_NOT_RUN, relay.ReasonHoldsOff)
					time.Sleep(time.Duration(r.RetryAfterMs)*time.Millisecond - 11*time.Millisecond)
					x.requireOne(t, peerpb.Status_NOT_RUN, relay.ReasonHoldsOff)
				}
				x.requireOne(t, peerpb.Status_DONE, "")
				require.Len(t, x.logs.FilterMessage(events.HoldUnreadable.Name).All(), lo.Ternary(c.reply.Unreadable != "", 1, 0))
			})
		})
	}
}

// Guards against an earlier end that replaces a later one, and against a late reply that ends a hold.
func TestLatestEndOfHoldsCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(4, 1)
		send := func(r target.Reply, took time.Duration) {
			x.answer(r)
			x.set(func() { x.serviceTime = took })
			x.submit(1, 0)
		}
		send(hold(3), 10*time.Millisecond)
		send(hold(1), 20*time.Millisecond)
		send(done, 2*time.Second)
		time.Sleep(2500 * time.Millisecond)
		x.requireOne(t, peerpb.Status_NOT_RUN, relay.ReasonHoldsOff)
		time.Sleep(time.Second)
		x.set(func() { x.serviceTime = 10 * time.Millisecond })
		x.requireOne(t, peerpb.Status_DONE, "")
	})
}

// Guards against queued sub-requests that wait for a target that leaves or holds off, or that are sent to it.
func TestQueueIsHandedBackAtOnce(t *testing.T) {
	for reason, reply := range map[string]target.Reply{relay.ReasonLeaving: leaving, relay.ReasonHoldsOff: hold(3)} {
		t.Run(reason, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newFixture(1, 1)
				x.answer(reply)
				rs := x.submit(20, 10*time.Millisecond)
				require.Len(t, rs, 20)
				require.Equal(t, 1, x.sends())
				for _, r := range rs[1:] {
					require.Equal(t, peerpb.Status_NOT_RUN, r.Status)
					require.Equal(t, reason, r.Reason)
					require.Equal(t, reason == relay.ReasonHoldsOff, r.RetryAfterMs > 2900)
				}
			})
		})
	}
}

// Guards against all waiting callers at a target at once when its hold ends, and against a lost probe that keeps it
// unused.
func TestHoldEndsWithOneProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(8, 8)
		x.answer(hold(1))
		x.submit(1, 10*time.Millisecond)
		time.Sleep(time.Second)
		x.answer(done)
		x.set(func() { x.serviceTime = time.Minute })
		require.Len(t, x.submit(20, 0), 19)
		require.Equal(t, []int{1, 1}, x.batchSizes)
		time.Sleep(100 * time.Millisecond)
		x.set(func() { x.serviceTime = 10 * time.Millisecond })
		require.Len(t, x.submit(20, 0), 19, "the first probe has no answer")
		require.Equal(t, []int{1, 1, 1}, x.batchSizes)
		time.Sleep(11 * time.Millisecond)
		for _, r := range x.submit(40, time.Second) {
			require.Equal(t, peerpb.Status_DONE, r.Status)
		}
		require.Len(t, x.logs.FilterMessage(events.TargetUsedAgain.Name).All(), 1)
		x.group.Wait()
	})
}

// Guards against a new incarnation that stays unused because of an earlier one's notices, and against an outdated health
// or a late reply that brings a leaving one back.
func TestNewIncarnationStartsClean(t *testing.T) {
	for name, notice := range map[string]target.Reply{"leaving": leaving, "hold": hold(200)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newFixture(4, 1)
				reason := lo.Ternary(notice.Leaving, relay.ReasonLeaving, relay.ReasonHoldsOff)
				x.answer(done)
				x.set(func() { x.serviceTime = 3 * time.Second })
				x.submit(1, 0)
				x.set(func() { x.serviceTime = 10 * time.Millisecond })
				x.answer(notice)
				x.submit(1, 10*time.Millisecond)

				x.relay.Expire()
				synctest.Wait()
				require.Equal(t, 1, x.checks)
				x.requireOne(t, peerpb.Status_NOT_RUN, reason)

				x.set(func() { x.health = "i0" })
				x.relay.Expire()
				synctest.Wait()
				status := lo.Ternary(notice.Leaving, peerpb.Status_DONE, peerpb.Status_NOT_RUN)
				x.requireOne(t, status, lo.Ternary(notice.Leaving, "", target.RefusalShed))
				for range 10 {
					x.relay.Expire()
					time.Sleep(500 * time.Millisecond)
					x.requireOne(t, peerpb.Status_NOT_RUN, reason)
				}

				x.set(func() { x.health = "i2" })
				x.answer(target.Reply{Incarnation: "i2"})
				x.relay.Expire()
				synctest.Wait()
				require.Len(t, x.submit(10, 0), 9, "one probe")
				time.Sleep(11 * time.Millisecond)
				x.requireOne(t, peerpb.Status_DONE, "")
				require.Len(t, x.logs.FilterMessage(events.TargetUsedAgain.Name).All(), 1)
				checks := x.checks
				x.relay.Expire()
				synctest.Wait()
				require.Equal(t, checks, x.checks)

				x.answer(notice)
				x.submit(1, 10*time.Millisecond)
				x.answer(target.Reply{Incarnation: "i2"})
				x.requireOne(t, peerpb.Status_DONE, "")
			})
		})
	}
}

// Guards against notices of an instance that bind another one at another address, and against a target that is used again
// because it was withdrawn for a moment.
func TestNoticesAndTheEntryOfTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(4, 1)
		x.answer(leaving)
		x.submit(1, 10*time.Millisecond)
		x.answer(done)
		x.board.Tree.Set(&settings.Tree{})
		x.relay.Expire()
		synctest.Wait()
		require.Zero(t, x.checks, "a target that is not published is asked for nothing")
		x.publish(settings.Target{Name: "t", Address: "127.0.0.1:1"}, 4, 1)
		x.relay.Expire()
		x.requireOne(t, peerpb.Status_NOT_RUN, relay.ReasonLeaving)
		x.publish(settings.Target{Name: "t", Address: "127.0.0.1:2"}, 4, 1)
		x.requireOne(t, peerpb.Status_DONE, "")
	})
}

// Guards against one fact about a target that hides, ends or replaces another.
func TestNoticesTogetherWithOtherFacts(t *testing.T) {
	inZone := func(x *fixture, state string) {
		x.publish(settings.Target{Name: "t", Address: "127.0.0.1:1", AvailabilityZone: "a"}, 4, 1)
		tree := *x.board.Tree.Get()
		tree.Fleet.AvailabilityZones = []settings.AvailabilityZone{{Name: "a", State: state}}
		x.board.Tree.Set(&tree)
	}
	lose := func(x *fixture) {
		x.set(func() { x.lost = true })
		x.submit(1, 0)
		x.set(func() { x.lost = false })
	}
	for _, c := range []struct {
		name   string
		notice target.Reply
		// during is called while the request is in flight that meets the notice, after once it has been met.
		during, after func(x *fixture)
		reason        string
		// then is called next, after which the second reason is expected.
		then   func(x *fixture)
		second string
	}{
		{"leaving, its zone out and back", leaving, nil, func(x *fixture) { inZone(x, settings.ZoneOut) }, relay.ReasonTargetOut, func(x *fixture) { inZone(x, settings.ZoneIn) }, relay.ReasonLeaving},
		{"a hold goes on while its zone is out", hold(1), nil, func(x *fixture) { inZone(x, settings.ZoneOut); time.Sleep(600 * time.Millisecond) }, relay.ReasonTargetOut, func(x *fixture) { inZone(x, settings.ZoneIn) }, relay.ReasonHoldsOff},
		{"a hold ends while its zone is out", hold(1), nil, func(x *fixture) { inZone(x, settings.ZoneOut); time.Sleep(time.Second) }, relay.ReasonTargetOut, func(x *fixture) { inZone(x, settings.ZoneIn) }, ""},
		{"leaving and a lost connection", leaving, lose, nil, relay.ReasonLeaving, func(*fixture) { time.Sleep(time.Second) }, relay.ReasonLeaving},
		{"a hold that outlasts a lost connection", hold(1), lose, nil, relay.ReasonHoldsOff, func(*fixture) { time.Sleep(time.Second) }, ""},
		{"a lost connection that outlasts a hold", hold(0.2), lose, nil, relay.ReasonHoldsOff, func(*fixture) { time.Sleep(300 * time.Millisecond) }, relay.ReasonDown},
		{"a hold and leaving", hold(1), func(x *fixture) { x.answer(leaving); x.submit(1, 0); x.answer(done) }, nil, relay.ReasonLeaving, func(*fixture) { time.Sleep(2 * time.Second) }, relay.ReasonLeaving},
		{"leaving and a hold", leaving, func(x *fixture) { x.answer(hold(1)); x.submit(1, 0); x.answer(done) }, nil, relay.ReasonLeaving, func(*fixture) { time.Sleep(2 * time.Second) }, relay.ReasonLeaving},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newFixture(4, 1)
				inZone(x, settings.ZoneIn)
				x.answer(c.notice)
				x.submit(1, 0)
				if c.during != nil {
					c.during(x)
				}
				time.Sleep(10 * time.Millisecond)
				synctest.Wait()
				if c.after != nil {
					c.after(x)
				}
				x.answer(done)
				x.requireOne(t, peerpb.Status_NOT_RUN, c.reason)
				c.then(x)
				x.requireOne(t, lo.Ternary(c.second == "", peerpb.Status_DONE, peerpb.Status_NOT_RUN), c.second)
			})
		})
	}
}

// Guards against a cold target that gets a request during its hold, or more than its allowance after it.
func TestHoldOfAColdTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(4, 1)
		x.relay.Policy = policy.Relayed{Without: policy.Mechanisms{Lease: true, Freshness: true, Quarantine: true}}
		tree := x.board.Tree.Get()
		sv := tree.Teams["team"].Services["s"]
		sv.ColdAllowance = 1
		tree.Teams["team"].Services["s"] = sv
		x.answer(hold(1))
		x.requireOne(t, peerpb.Status_NOT_RUN, target.RefusalShed)
		x.answer(done)
		x.requireOne(t, peerpb.Status_NOT_RUN, relay.ReasonHoldsOff)
		time.Sleep(time.Second)
		x.requireOne(t, peerpb.Status_DONE, "")
		before := x.sends()
		x.submit(3, 5*time.Millisecond)
		require.Equal(t, before+1, x.sends())
		time.Sleep(time.Second)
		x.group.Wait()
	})
}

// Guards against a target that is started anew beside its old process and stays unused because that one still replies.
func TestHandoverBetweenProcesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(4, 1)
		x.answer(leaving)
		x.set(func() { x.serviceTime = 2 * time.Second })
		x.submit(1, 0)
		x.set(func() { x.serviceTime = 10 * time.Millisecond })
		x.submit(1, 10*time.Millisecond)
		x.set(func() { x.health = "i2" })
		x.relay.Expire()
		synctest.Wait()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		require.Empty(t, x.relay.Status()[0].LeftOut, "a late reply of the old process is not the probe's")

		x.requireOne(t, peerpb.Status_DONE, "")
		x.answer(target.Reply{Incarnation: "i2"})
		for range 55 {
			x.relay.Expire()
			time.Sleep(500 * time.Millisecond)
			x.requireOne(t, peerpb.Status_NOT_RUN, relay.ReasonLeaving)
		}
		time.Sleep(time.Second)
		x.relay.Expire()
		synctest.Wait()
		x.requireOne(t, peerpb.Status_DONE, "")
		x.relay.Expire()
		require.Empty(t, x.relay.Status()[0].LeftOut)
	})
}
