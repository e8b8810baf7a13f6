package sendgate_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/sendgate"
)

func ids(ts []inventory.Target) []string {
	return lo.Map(ts, func(t inventory.Target, _ int) string { return t.ID })
}

func coldRules(rate float64) sendgate.Rules {
	return sendgate.Rules{Rates: map[string]float64{"s": rate}, Overshoot: 1.5, Slack: 5}
}

func TestEligible(t *testing.T) {
	now := time.Now()
	warm := inventory.Target{ID: "warm", Service: "s", AvailabilityZone: "a"}
	cold := inventory.Target{ID: "cold", Service: "s", AvailabilityZone: "b", ColdUntil: now.Add(time.Second)}
	draining := inventory.Target{ID: "leaving", Service: "s", AvailabilityZone: "b", Draining: true}
	for _, c := range []struct {
		name    string
		targets []inventory.Target
		rate    float64
		out     []string
		want    []string
	}{
		{"all", []inventory.Target{warm, cold}, 0, nil, []string{"warm", "cold"}},
		{"a bounded cold target gets nothing while there is a warm one", []inventory.Target{warm, cold}, 2, nil, []string{"warm"}},
		{"a bounded cold target without a warm one", []inventory.Target{cold}, 2, nil, []string{"cold"}},
		{"a draining target gets nothing", []inventory.Target{warm, draining}, 0, nil, []string{"warm"}},
		{"a zone taken out gets nothing", []inventory.Target{warm, cold}, 0, []string{"a"}, []string{"cold"}},
		{"none", []inventory.Target{warm, draining}, 0, []string{"a", "b"}, []string{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var g sendgate.Gate
			g.SetRules(coldRules(c.rate))
			g.SetMembers("vm", []string{"vm"})
			g.SetZonesTakenOut(c.out, now)
			require.Equal(t, c.want, ids(g.Eligible(c.targets, now)))
		})
	}
}

func TestEnterAsksAgainAtTheMomentOfTheSend(t *testing.T) {
	now := time.Now()
	var g sendgate.Gate
	target := inventory.Target{ID: "t", Service: "s", AvailabilityZone: "a"}
	require.Len(t, g.Eligible([]inventory.Target{target}, now), 1)
	g.SetZonesTakenOut([]string{"a"}, now)
	require.False(t, g.Admit(target, now))
}

func TestZoneThatIsBackCountsAsColdForAWhile(t *testing.T) {
	now := time.Now()
	var g sendgate.Gate
	g.SetRules(coldRules(2))
	targets := []inventory.Target{{ID: "back", Service: "s", AvailabilityZone: "a"}, {ID: "warm", Service: "s", AvailabilityZone: "b"}}
	g.SetZonesTakenOut([]string{"a"}, time.Time{})
	g.SetZonesTakenOut(nil, now.Add(4*time.Second))
	require.Equal(t, []string{"warm"}, ids(g.Eligible(targets, now.Add(3*time.Second))))
	require.Equal(t, []string{"back", "warm"}, ids(g.Eligible(targets, now.Add(5*time.Second))))
}

// Every daemon keeps trying to send to a service whose targets are all cold.
func TestColdAllowanceIsSharedByAllDaemons(t *testing.T) {
	for _, c := range []struct {
		rate    float64
		daemons int
	}{{0.5, 13}, {4, 13}, {20, 13}, {4, 2}, {100, 139}} {
		t.Run(fmt.Sprint(c.rate, " a second, ", c.daemons, " daemons"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkColdShare(t, c.rate, c.daemons) })
		})
	}
}

func checkColdShare(t *testing.T, rate float64, daemons int) {
	names := lo.Times(daemons, func(i int) string { return fmt.Sprint("vm", i) })
	gates := make([]sendgate.Gate, daemons)
	for i := range gates {
		gates[i].SetRules(coldRules(rate))
		gates[i].SetMembers(names[i], names)
	}
	target := inventory.Target{ID: "t", Service: "s", ColdUntil: time.Now().Add(time.Hour)}
	var sent []time.Time
	for range 200 {
		for i := range gates {
			if gates[i].Admit(target, time.Now()) {
				sent = append(sent, time.Now())
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	require.NotEmpty(t, sent)
	for i, from := range sent {
		n := lo.CountBy(sent[i:], func(at time.Time) bool { return at.Sub(from) < time.Second })
		require.LessOrEqual(t, float64(n), rate*1.5+5)
	}
}

func TestColdTargetGetsNothingFromADaemonThatKnowsNobody(t *testing.T) {
	now := time.Now()
	var g sendgate.Gate
	g.SetRules(coldRules(20))
	g.SetMembers("vm", nil)
	require.False(t, g.Admit(inventory.Target{ID: "t", Service: "s", ColdUntil: now.Add(time.Second)}, now))
}
