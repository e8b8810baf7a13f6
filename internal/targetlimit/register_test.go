package targetlimit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
	"github.com/knapweedpoint/knapweedpoint/internal/targetlimit"
)

func answer(limit targetcall.RateLimit) targetcall.Result {
	return targetcall.Answered{Status: 200, Signature: "s", RateLimit: limit}
}

// Each case starts with a target whose limit of 25 was observed at 0.
func TestLimitAfterAStatement(t *testing.T) {
	epoch := time.Now()
	target := inventory.Target{ID: "t", StartMillis: 7}
	after := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	for _, c := range []struct {
		name    string
		result  targetcall.Result
		started int
		want    float64
		reject  bool
	}{
		{"falls", answer(targetcall.RequestRate{PerSecond: 10}), 1, 10, false},
		{"rises", answer(targetcall.RequestRate{PerSecond: 40}), 1, 40, false},
		{"stated in a refusal", targetcall.Refused{RateLimit: targetcall.RequestRate{PerSecond: 4}}, 1, 4, false},
		{"ends", answer(nil), 1, 0, false},
		{"overtaken answer without a limit", answer(nil), -1, 25, false},
		{"failure without a limit", targetcall.Answered{Status: 500, Signature: "s"}, 1, 25, false},
		{"refusal without a limit", targetcall.Refused{}, 1, 25, false},
		{"no answer", targetcall.Unknown{}, 1, 25, false},
		{"zero", answer(targetcall.RequestRate{}), 1, 25, true},
		{"tiny", answer(targetcall.RequestRate{PerSecond: 1e-9}), 1, 25, true},
		{"huge", answer(targetcall.RequestRate{PerSecond: 1e300}), 1, 25, true},
		{"unreadable", answer(targetcall.UnreadableRate{Text: "x"}), 1, 25, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var r targetlimit.Register
			r.Observe(target, answer(targetcall.RequestRate{PerSecond: 25}), after(-5), epoch)
			o := r.Observe(target, c.result, after(c.started), after(5))
			require.InDelta(t, c.want, r.Limit(target), 0)
			_, rejected := o.(targetlimit.Rejected)
			require.Equal(t, c.reject, rejected)
		})
	}
}

func TestLimitBindsTheIncarnationThatStatedIt(t *testing.T) {
	now := time.Now()
	var r targetlimit.Register
	old, next := inventory.Target{ID: "t", StartMillis: 7}, inventory.Target{ID: "t", StartMillis: 8}
	limited := answer(targetcall.RequestRate{PerSecond: 25})
	r.Observe(old, limited, now, now)
	require.Zero(t, r.Limit(next))
	r.Observe(next, answer(targetcall.RequestRate{PerSecond: 5}), now, now.Add(time.Second))
	r.Observe(old, limited, now, now.Add(2*time.Second))
	require.InDelta(t, 5, r.Limit(next), 0, "an answer of the earlier incarnation that arrives late changes nothing")
	r.Retain(func(string) bool { return false })
	require.Zero(t, r.Limit(next))
}

func TestUsageOfLimitedTargets(t *testing.T) {
	now := time.Now()
	var r targetlimit.Register
	r.CountSend("t", false)
	r.Observe(inventory.Target{ID: "t"}, answer(targetcall.RequestRate{PerSecond: 25}), now, now)
	r.CountSend("t", false)
	r.CountSend("t", true)
	r.CountSend("u", true)
	require.Equal(t, []targetlimit.Usage{{Target: "t", PerSecond: 25, First: 1, Additional: 1}}, r.TakeUsage())
	require.Empty(t, r.TakeUsage())
}
