package sendgate_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/sendgate"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

// Guards against a large fleet that doesn't leave a target alone within a hold or after it has said that it is leaving,
// comes back to it late, or all at once when all holds end at the same moment.
func TestFleetObeysNotices(t *testing.T) {
	for _, daemons := range []int{13, 139, 295} {
		for _, leaves := range []bool{false, true} {
			t.Run(fmt.Sprint(daemons, " daemons, leaves ", leaves), func(t *testing.T) { checkFleet(t, daemons, leaves) })
		}
	}
}

// checkFleet lets a fleet make 800 requests a second to a service of two targets, one of which refuses all requests for
// five seconds or leaves.
func checkFleet(t *testing.T, daemons int, leaves bool) {
	const (
		perSecond = 800
		tick      = time.Second / perSecond
		answer    = 5 * time.Millisecond
	)
	start := time.Unix(0, 0)
	holdEnd := start.Add(5 * time.Second)
	gates := make([]sendgate.Gate, daemons)
	one := inventory.Target{ID: "one", Service: "s", StartMillis: 1}
	other := inventory.Target{ID: "other", Service: "s", StartMillis: 1}
	random := rand.New(rand.NewPCG(uint64(daemons), 1))
	type call struct {
		gate int
		to   inventory.Target
		at   time.Time
	}
	var calls []call
	var after []time.Time
	// told is when a daemon first got an answer of the target, sends what the target got from it later.
	told, sends := make([]time.Time, daemons), make([]int, daemons)
	for now := start; now.Before(holdEnd.Add(3 * time.Second)); now = now.Add(tick) {
		for len(calls) > 0 && !now.Before(calls[0].at.Add(answer)) {
			c := calls[0]
			calls = calls[1:]
			var result targetcall.Result = targetcall.Answered{Status: 200, Signature: "s"}
			if c.to == one {
				switch {
				case leaves:
					result = leaving
				case c.at.Before(holdEnd.Add(-time.Second / 2)):
					result = hold(holdEnd.Sub(now))
				}
				if told[c.gate].IsZero() {
					told[c.gate] = now
				}
			}
			gates[c.gate].Observe(c.to, result, c.at, now)
		}
		i := random.IntN(daemons)
		eligible := gates[i].Eligible([]inventory.Target{one, other}, now)
		require.NotEmpty(t, eligible, "the other target takes over")
		to := eligible[random.IntN(len(eligible))]
		if !gates[i].Admit(to, now) {
			require.Equal(t, one, to, "the other target takes over")
			continue
		}
		calls = append(calls, call{gate: i, to: to, at: now})
		switch {
		case to == other:
		case !leaves && !now.Before(holdEnd):
			after = append(after, now)
		case !told[i].IsZero():
			sends[i]++
		}
	}
	require.Zero(t, lo.Max(sends), "sent to after its answer")
	require.Zero(t, lo.CountBy(told, time.Time.IsZero), "each daemon has used the target")
	if leaves {
		return
	}
	inFirst := func(d time.Duration) int {
		return lo.CountBy(after, func(at time.Time) bool { return at.Before(holdEnd.Add(d)) })
	}
	t.Logf("%d daemons: %d sends in 100 ms and %d in 1 s after all holds", daemons, inFirst(100*time.Millisecond), inFirst(time.Second))
	require.Positive(t, inFirst(time.Second), "used again")
	// Half of the requests are the target's usual share; a tenth more is chance.
	require.LessOrEqual(t, inFirst(time.Second), perSecond*6/10)
	require.LessOrEqual(t, inFirst(100*time.Millisecond), perSecond*7/100)
}
