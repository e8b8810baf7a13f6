package forward_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/retrybudget"
	"github.com/knapweedpoint/knapweedpoint/internal/scriptedtarget"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

func asksForHold(seconds float64) scriptedtarget.Behaviour {
	return scriptedtarget.Behaviour{Delay: time.Millisecond, Result: targetcall.Refused{RetryAfter: targetcall.RetryDelay{Seconds: seconds}}}
}

// notice hands an answer of a target to the gate, as another request's send does.
func (x *fixture) notice(target string, result targetcall.Result) {
	t, _ := x.inventory.Target(target)
	x.forwarder.Gate.Observe(t, result, time.Now(), time.Now())
}

func (x *fixture) callsTo(target string) int {
	return lo.CountBy(x.sender.Calls(), func(call scriptedtarget.Call) bool { return call.Target == target })
}

// Guards against a kind of send that goes to a target which is leaving or has asked for a hold.
func TestEverySendLeavesOutATargetByItsNotice(t *testing.T) {
	quick := scriptedtarget.Behaviour{Delay: 5 * time.Millisecond}
	full := scriptedtarget.Behaviour{Delay: time.Millisecond, Result: targetcall.Refused{}}
	for notice, result := range map[string]targetcall.Result{
		"leaving": targetcall.Answered{Status: 200, Signature: "s", Leaving: true},
		"hold":    asksForHold(60).Result,
	} {
		for _, c := range []struct {
			name string
			// other is how target b behaves.
			other scriptedtarget.Behaviour
			want  string
		}{
			{"first send", quick, "done"},
			{"retry after a failure", scriptedtarget.Behaviour{Delay: time.Millisecond, Result: scriptedtarget.Failure("b")}, "failed"},
			{"retry after a refusal, and further rounds", full, "notRun"},
			{"hedge of a stalled call", scriptedtarget.Behaviour{Delay: time.Hour}, "lost"},
		} {
			t.Run(notice+", "+c.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					x := newFixture(func(target string, _ int) scriptedtarget.Behaviour { return lo.Ternary(target == "a", quick, c.other) }, "a", "b")
					x.notice("a", result)
					for range 5 {
						out, _ := x.forwarder.Run(context.Background(), job(true))
						require.Equal(t, c.want, out.Label())
					}
					require.Zero(t, x.callsTo("a"))
					x.close()
				})
			})
		}
	}
}

// Guards against a send that waited for its permit and then goes to a target which has become ineligible meanwhile, or goes there
// with a key that was revoked.
func TestGrantedPermitDoesNotOverruleANotice(t *testing.T) {
	for name, c := range map[string]struct {
		notice targetcall.Result
		reason string
	}{
		"leaving": {targetcall.Answered{Status: 200, Signature: "s", Leaving: true}, forward.ReasonNoTarget},
		"hold":    {asksForHold(60).Result, forward.ReasonTargetsHoldOff},
		"revoked": {nil, forward.ReasonRevoked},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newFixture(always(scriptedtarget.Behaviour{Delay: 5 * time.Millisecond}), "a")
				x.limit(1000, true, "a")
				permits := x.forwarder.Permits
				permits.Send = func(issuer string, r *gossippb.PermitRequest) {
					time.AfterFunc(5*time.Millisecond, func() { permits.HandleReply(issuer, &gossippb.PermitReply{Id: r.GetId(), Granted: true}) })
				}
				out, _ := x.forwarder.Run(context.Background(), job(true))
				require.Equal(t, "done", out.Label(), "without a notice the permit is used")
				j, revokedAt := job(true), time.Now().Add(2*time.Millisecond)
				j.Revoked = func() bool { return c.notice == nil && !time.Now().Before(revokedAt) }
				if c.notice != nil {
					time.AfterFunc(2*time.Millisecond, func() { x.notice("a", c.notice) })
				}
				out, _ = x.forwarder.Run(context.Background(), j)
				require.Equal(t, c.reason, out.(forward.NotRun).Reason)
				require.Len(t, x.sender.Calls(), 1)
				x.close()
			})
		})
	}
}

// Guards against refusals that ask for a hold and use up the retry budget, so that requests fail although another
// target is free.
func TestHoldCostsOneRetry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The target of the first send asks for a hold.
		x := newFixture(first(asksForHold(3)), "a", "b")
		// The budget uses 0.85 of its slack, so this allows one retry.
		x.forwarder.Budget.SetRule(retrybudget.Rule{Slack: 2, Window: 10 * time.Second}, retrybudget.EqualShares(1))
		for started := time.Now(); time.Since(started) < 2500*time.Millisecond; time.Sleep(10 * time.Millisecond) {
			out, _ := x.forwarder.Run(context.Background(), job(true))
			require.Equal(t, "done", out.Label())
		}
		holding := x.sender.Calls()[0].Target
		require.Equal(t, 1, x.callsTo(holding))
		x.close()
	})
}

// Guards against a target that is ejected, or used less than others, after holds that it asked for.
func TestHoldIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		asks := true
		x := newFixture(func(string, int) scriptedtarget.Behaviour {
			return lo.Ternary(asks, asksForHold(0.1), scriptedtarget.Behaviour{Delay: 5 * time.Millisecond})
		}, "a")
		target, _ := x.inventory.Target("a")
		for range 20 {
			out, _ := x.forwarder.Run(context.Background(), job(true))
			require.Equal(t, forward.ReasonTargetsHoldOff, out.(forward.NotRun).Reason)
			require.False(t, x.forwarder.Selector.Ejected(target, time.Now()))
			time.Sleep(out.(forward.NotRun).RetryAfter)
		}
		require.Len(t, x.sender.Calls(), 20)
		asks = false
		out, _ := x.forwarder.Run(context.Background(), job(true))
		require.Equal(t, "done", out.Label())
		x.close()
	})
}

// Guards against callers that are held, or told a time at which no target takes them, while all targets of a service
// have asked for a hold.
func TestAllTargetsHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(always(scriptedtarget.Behaviour{Delay: 5 * time.Millisecond}), "a", "b")
		x.notice("a", asksForHold(3).Result)
		x.notice("b", asksForHold(2).Result)
		start := time.Now()
		out, _ := x.forwarder.Run(context.Background(), job(false))
		require.Equal(t, forward.NotRun{Reason: forward.ReasonTargetsHoldOff, RetryAfter: 2 * time.Second}, out)
		require.Equal(t, start, time.Now(), "refused at once")
		require.Empty(t, x.sender.Calls())
		require.False(t, x.forwarder.Reachable("s"))
		time.Sleep(out.(forward.NotRun).RetryAfter)
		require.True(t, x.forwarder.Reachable("s"))
		out, _ = x.forwarder.Run(context.Background(), job(false))
		require.Equal(t, "done", out.Label())
		x.close()
	})
}

// Guards against a request that waits for a further round over targets which all asked for a hold when they refused it.
func TestRequestThatMeetsEveryHoldIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(always(asksForHold(3)), "a", "b")
		start := time.Now()
		out, _ := x.forwarder.Run(context.Background(), job(false))
		require.Equal(t, forward.ReasonTargetsHoldOff, out.(forward.NotRun).Reason)
		require.InDelta(t, 3, out.(forward.NotRun).RetryAfter.Seconds(), 0.01)
		require.Equal(t, 2*time.Millisecond, time.Since(start))
		x.close()
	})
}

// Guards against a batch of waiting requests that all go to a target when its hold ends, before it has answered one.
func TestWaitingCallersFollowTheProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(always(scriptedtarget.Behaviour{Delay: 5 * time.Millisecond}), "a", "b")
		x.notice("b", targetcall.Answered{Status: 200, Signature: "s", Leaving: true})
		x.notice("a", asksForHold(2).Result)
		time.Sleep(2 * time.Second)
		b := x.forwarder.Start(lo.Times(20, func(int) forward.Job { return job(false) }))
		var refused time.Duration
		done := 0
		for range 20 {
			switch o := b.Next(context.Background(), time.Time{})[0].Outcome.(type) {
			case forward.Done:
				done++
			case forward.NotRun:
				refused = o.RetryAfter
			}
		}
		b.Release()
		require.Equal(t, 1, done)
		require.Equal(t, 1, x.callsTo("a"))
		time.Sleep(refused)
		for range 20 {
			out, _ := x.forwarder.Run(context.Background(), job(false))
			require.Equal(t, "done", out.Label())
		}
		x.close()
	})
}

// Guards against a notice that is lost because the answer with it came after its request had been answered by another
// target.
func TestNoticeOfAnOvertakenSendCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leaving := targetcall.Answered{Status: 200, Signature: "s", Leaving: true}
		x := newFixture(first(scriptedtarget.Behaviour{Delay: 200 * time.Millisecond, Result: leaving}), "a", "b")
		out, trace := x.forwarder.Run(context.Background(), job(true))
		require.Equal(t, "done", out.Label())
		require.Equal(t, 1, trace.Hedged)
		time.Sleep(time.Second)
		require.Len(t, x.forwarder.Gate.Eligible(x.inventory.ByService("s"), time.Now()), 1)
		x.close()
	})
}

// slowConnection is a sender whose connections take time to open; it sends to the target unless the call is withdrawn.
type slowConnection struct {
	*scriptedtarget.Sender
	delay time.Duration
}

func (s slowConnection) Send(ctx context.Context, c targetcall.Call) targetcall.Result {
	time.Sleep(s.delay)
	if c.Withdrawn() {
		return targetcall.NotSent{Err: errors.New("withdrawn")}
	}
	return s.Sender.Send(ctx, c)
}

// Guards against a send that was admitted before a notice and leaves after it, because its connection took long to open.
func TestNoticeWithdrawsASendWithoutConnection(t *testing.T) {
	for name, notice := range map[string]targetcall.Result{
		"leaving": targetcall.Answered{Status: 200, Signature: "s", Leaving: true},
		"hold":    asksForHold(60).Result,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newFixture(always(scriptedtarget.Behaviour{Delay: 5 * time.Millisecond}), "a", "b")
				x.forwarder.Sender = slowConnection{Sender: x.sender, delay: 20 * time.Millisecond}
				var chosen string
				x.forwarder.OnSend = func(t inventory.Target, _ bool) {
					if chosen == "" {
						chosen = t.ID
						time.AfterFunc(10*time.Millisecond, func() { x.notice(t.ID, notice) })
					}
				}
				out, _ := x.forwarder.Run(context.Background(), job(false))
				require.Equal(t, "done", out.Label())
				require.Zero(t, x.callsTo(chosen))
				require.Len(t, x.sender.Calls(), 1)
				x.close()
			})
		})
	}
}

// Guards against a probe that is withdrawn because it is one, so that its target stays unused.
func TestProbeWithASlowConnectionIsSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(always(scriptedtarget.Behaviour{Delay: 5 * time.Millisecond}), "a")
		x.forwarder.Sender = slowConnection{Sender: x.sender, delay: 20 * time.Millisecond}
		x.notice("a", asksForHold(1).Result)
		time.Sleep(time.Second)
		out, _ := x.forwarder.Run(context.Background(), job(false))
		require.Equal(t, "done", out.Label())
		x.close()
	})
}

// lateSender returns the result of a call that was cancelled only after a delay.
type lateSender struct {
	result targetcall.Result
	delay  time.Duration
}

// Send waits until the call is cancelled, and longer by the delay.
func (s lateSender) Send(ctx context.Context, _ targetcall.Call) targetcall.Result {
	<-ctx.Done()
	time.Sleep(s.delay)
	return s.result
}

// Guards against a hold that is not noticed because the answer arrived after the caller had left, and against a target
// that is taken for unresponsive because of the wait for that answer.
func TestAnswerToACancelledCallIsObserved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(nil, "a")
		x.forwarder.Sender = lateSender{result: asksForHold(60).Result, delay: 50 * time.Millisecond}
		ctx, cancel := context.WithTimeout(t.Context(), 299*time.Millisecond)
		defer cancel()
		out, _ := x.forwarder.Run(ctx, job(true))
		require.Equal(t, forward.ReasonCallerGone, out.(forward.Lost).Reason)
		time.Sleep(100 * time.Millisecond)
		target, _ := x.inventory.Target("a")
		require.False(t, x.forwarder.Selector.Ejected(target, time.Now()))
		_, holds := x.forwarder.HoldWait("s")
		require.True(t, holds)
		x.close()
	})
}
