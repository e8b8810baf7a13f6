package targetnotice_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
	"github.com/knapweedpoint/knapweedpoint/internal/targetnotice"
)

var (
	epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	// target has a known start; unborn is only known by its address.
	target = inventory.Target{ID: "t", StartMillis: 7, Address: "h:1"}
	unborn = inventory.Target{ID: "u", Address: "h:2"}
)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

func hold(seconds float64) targetcall.Result {
	return targetcall.Refused{RetryAfter: targetcall.RetryDelay{Seconds: seconds}}
}

func answer() targetcall.Result { return targetcall.Answered{Status: 200, Signature: "s"} }

func leaving() targetcall.Result {
	return targetcall.Answered{Status: 200, Signature: "s", Leaving: true}
}

func free(r *targetnotice.Register, t inventory.Target, now time.Time) bool {
	_, ok := r.Standing(t, now).(targetnotice.Free)
	return ok
}

// Guards against holds that are ignored, end early, or stop a healthy target for long.
func TestHoldByWhatTheAnswersSay(t *testing.T) {
	type step struct {
		at, started float64
		result      targetcall.Result
	}
	for _, c := range []struct {
		name  string
		steps []step
		// until is when the target may be sent to again, in seconds; 0 if it is not kept from being used.
		until float64
	}{
		{"none", []step{{0, 0, targetcall.Refused{}}}, 0},
		{"whole seconds", []step{{0, 0, hold(3)}}, 3},
		{"a fraction", []step{{0, 0, hold(0.25)}}, 0.25},
		{"with a failure that does not say that it has not run", []step{{0, 0, targetcall.Answered{Status: 503, RetryAfter: targetcall.RetryDelay{Seconds: 2}}}}, 2},
		{"zero", []step{{0, 0, hold(0)}}, 0},
		{"a day", []step{{0, 0, hold(86400)}}, 300},
		{"endless", []step{{0, 0, hold(math.Inf(1))}}, 300},
		{"unreadable", []step{{0, 0, targetcall.Refused{RetryAfter: targetcall.UnreadableDelay{Text: "x"}}}}, 0},
		{"unreadable does not end a hold", []step{{0, 0, hold(3)}, {1, 0, targetcall.Refused{RetryAfter: targetcall.UnreadableDelay{Text: "x"}}}}, 3},
		{"a later end counts", []step{{0, 0, hold(3)}, {1, 0, hold(5)}}, 6},
		{"an earlier end does not", []step{{0, 0, hold(3)}, {1, 0, hold(1)}}, 3},
		{"an answer to an earlier call does not end it", []step{{0, 0, hold(3)}, {1, -1, answer()}}, 3},
		{"nor does one that arrives after its end", []step{{0, 0, hold(3)}, {3.5, 2.9, hold(1)}}, 4.5},
		{"no answer", []step{{0, 0, hold(3)}, {1, 0, targetcall.Unknown{}}, {1, 0, targetcall.NotSent{}}}, 3},
		{"an answer of another incarnation", []step{{0, 0, targetcall.Refused{OtherIncarnation: true, RetryAfter: targetcall.RetryDelay{Seconds: 3}}}}, 0},
		{"a new hold after its end", []step{{0, 0, hold(1)}, {1.5, 1.2, hold(2)}}, 3.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r targetnotice.Register
			last := 0.0
			for _, s := range c.steps {
				r.Observe(target, s.result, at(s.started), at(s.at))
				last = s.at
			}
			if c.until == 0 {
				require.True(t, free(&r, target, at(last)))
				return
			}
			require.Equal(t, targetnotice.HoldingOff{Until: at(c.until)}, r.Standing(target, at(last)))
			require.False(t, free(&r, target, at(c.until).Add(-time.Millisecond)))
			require.True(t, free(&r, target, at(c.until)))
		})
	}
}

// Guards against all waiting callers at a target at once when its hold ends.
func TestHoldEndsWithAProbe(t *testing.T) {
	var r targetnotice.Register
	require.Equal(t, targetnotice.HoldBegun{Until: at(3)}, r.Observe(target, hold(3), at(0), at(0)))
	require.False(t, r.Admit(target, at(2.9)))
	require.True(t, r.Admit(target, at(3)))
	require.False(t, r.Admit(target, at(3)), "one probe")
	require.False(t, r.Admit(target, at(3.05)))
	require.True(t, r.Admit(target, at(3.1)), "the probe may be lost")
	require.Equal(t, targetnotice.Unchanged{}, r.Observe(target, answer(), at(2.9), at(3.12)), "not the answer to a probe")
	require.False(t, r.Admit(target, at(3.12)))
	require.Equal(t, targetnotice.HoldEnded{}, r.Observe(target, answer(), at(3.1), at(3.13)))
	for range 100 {
		require.True(t, r.Admit(target, at(3.13)))
	}
	require.Equal(t, targetnotice.Unchanged{}, r.Observe(target, answer(), at(3.1), at(3.14)))
}

// Guards against a leaving target that is used again before it is gone, and against one that is left out because
// another one was leaving.
func TestLeavingBindsAnIncarnation(t *testing.T) {
	earlier, next := target, target
	earlier.StartMillis, next.StartMillis = 5, 9
	moved := unborn
	moved.Address = "h:3"
	successor := inventory.Target{ID: "v", StartMillis: 9, Address: target.Address}
	ready := func(ts ...inventory.Target) func(string) (inventory.Target, bool) {
		inv := inventory.New(1, ts)
		return inv.Target
	}
	for _, c := range []struct {
		name         string
		leaves, asks inventory.Target
		then         func(r *targetnotice.Register)
		left         bool
	}{
		{"the same", target, target, nil, true},
		{"an answer without the header", target, target, func(r *targetnotice.Register) { r.Observe(target, answer(), at(1), at(1)) }, true},
		{"a hold and its end", target, target, func(r *targetnotice.Register) {
			r.Observe(target, hold(1), at(1), at(1))
			r.Observe(target, answer(), at(3), at(3))
		}, true},
		{"still published as ready", target, target, func(r *targetnotice.Register) { r.Retain(ready(target), at(4000)) }, true},
		{"withdrawn and published again", target, target, func(r *targetnotice.Register) {
			r.Retain(ready(), at(1))
			r.Retain(ready(target), at(600))
			r.Retain(ready(), at(3700))
		}, true},
		{"withdrawn for long", target, target, func(r *targetnotice.Register) {
			r.Retain(ready(), at(1))
			r.Retain(ready(), at(3601))
		}, false},
		{"an outdated entry of an earlier start", target, earlier, nil, true},
		{"the same name started anew", target, next, nil, false},
		{"an outdated entry after a new start", target, target, func(r *targetnotice.Register) {
			r.Observe(next, answer(), at(1), at(1))
			r.Retain(ready(next), at(2))
		}, true},
		{"a late answer of the earlier incarnation", target, next, func(r *targetnotice.Register) { r.Observe(target, leaving(), at(0), at(9)) }, false},
		{"another name at its address", target, successor, nil, false},
		{"start unknown", unborn, unborn, nil, true},
		{"start unknown, at another address", unborn, moved, nil, false},
		{"start unknown, withdrawn", unborn, unborn, func(r *targetnotice.Register) { r.Retain(ready(), at(1)) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r targetnotice.Register
			require.Equal(t, targetnotice.LeavingBegun{}, r.Observe(c.leaves, leaving(), at(0), at(0)))
			require.Equal(t, targetnotice.Unchanged{}, r.MarkLeaving(c.leaves, at(0.5)), "the earlier source counts")
			if c.then != nil {
				c.then(&r)
			}
			require.Equal(t, c.left, !free(&r, c.asks, at(5000)))
			require.Equal(t, c.left, !r.Admit(c.asks, at(5000)))
		})
	}
}

// Guards against a hold that outlasts the target that asked for it.
func TestHoldEndsWithItsIncarnation(t *testing.T) {
	next := target
	next.StartMillis++
	var r targetnotice.Register
	r.Observe(target, hold(60), at(0), at(0))
	r.Observe(unborn, hold(60), at(0), at(0))
	require.False(t, r.Admit(target, at(1)))
	require.True(t, r.Admit(next, at(1)))
	r.Retain(func(string) (inventory.Target, bool) { return inventory.Target{}, false }, at(1))
	require.True(t, r.Admit(unborn, at(1)))
}

// Guards against a target that stays unused for ever after the store called it draining by mistake, and against an
// outdated entry that brings a leaving one back.
func TestStoreRevokesOnlyItsOwnWord(t *testing.T) {
	draining, earlier, next := target, target, target
	draining.Draining, earlier.StartMillis, next.StartMillis = true, 5, 9
	for _, c := range []struct {
		name string
		// entries are published at each second in turn, the last of them from then on; a zero entry is none.
		entries []inventory.Target
		// announces is when an answer says that the target is leaving; 0 if none does.
		announces int
		// freeAt is when the target is used again; 0 if never.
		freeAt int
	}{
		{"ready", []inventory.Target{target}, 0, 60},
		{"drains again", []inventory.Target{target, target, draining, target}, 0, 63},
		{"withdrawn meanwhile", []inventory.Target{target, {}, target}, 0, 62},
		{"withdrawn", []inventory.Target{{}}, 0, 0},
		{"still draining", []inventory.Target{draining}, 0, 0},
		{"an outdated entry of an earlier start", []inventory.Target{earlier}, 0, 0},
		{"the entry of the next start", []inventory.Target{next}, 0, 0},
		{"said in an answer, too", []inventory.Target{target}, 30, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r targetnotice.Register
			r.MarkLeaving(draining, at(0))
			for s := range 600 {
				if c.announces == s && s > 0 {
					r.Observe(target, leaving(), at(0), at(float64(s)))
				}
				x := c.entries[min(s, len(c.entries)-1)]
				returned := r.Retain(func(string) (inventory.Target, bool) { return x, x.ID != "" }, at(float64(s)))
				require.Equal(t, c.freeAt > 0 && s == c.freeAt, len(returned) == 1, "second %d", s)
				require.Equal(t, c.freeAt > 0 && s >= c.freeAt, free(&r, target, at(float64(s))), "second %d", s)
			}
		})
	}
}
