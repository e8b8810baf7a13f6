package promise

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/fleetsim"
	"github.com/knapweedpoint/knapweedpoint/internal/layout"
	"github.com/knapweedpoint/knapweedpoint/internal/policy"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// TestPromisesBreakWithoutTheirMechanism disables one protection mechanism at a time and requires that Verify reports a
// violation of the invariant that the mechanism protects.
func TestPromisesBreakWithoutTheirMechanism(t *testing.T) {
	faultsByName := lo.KeyBy(faults(), func(x fault) string { return x.name })
	cases := []struct {
		without   policy.Mechanisms
		fault     string
		violation string
	}{
		{policy.Mechanisms{Ramp: true}, "all targets of a zone cold at once", "cold start"},
		{policy.Mechanisms{Lease: true}, "peers partitioned", "cold start"},
		// The lease is disabled as well: on its own it would also stop a resumed daemon from sending to targets whose last
		// known state was cold.
		{policy.Mechanisms{Freshness: true, Lease: true}, "daemon paused while a zone is taken out, resumed while it is out", "taken out"},
		{policy.Mechanisms{Witness: true}, "two revisions in 100 ms, the zone out and in again", "at most once"},
	}
	for i, c := range cases {
		t.Run(c.violation+" "+c.fault, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				o := smallFleet(uint64(i) + 1)
				o.Policy = policy.Relayed{Without: c.without}
				f, traffic := underFault(t, o, faultsByName[c.fault])
				violations := fleetsim.Verify(f, traffic...)
				require.True(t, lo.SomeBy(violations, func(v string) bool { return strings.HasPrefix(v, c.violation) }), "%v", violations)
			})
		})
	}
}

// sendPoisonRequests sends a request that crashes every target that runs it, again every 2 s and through the daemons in turn,
// while background traffic runs. It returns the number of crashes, the number of services with two or more replicas of
// which every replica crashed, and the background traffic.
func sendPoisonRequests(t *testing.T, p policy.Policy, group layout.Group, kind string) (crashes, servicesLost int, background *fleetsim.Traffic) {
	t.Helper()
	d := layout.Tochtwering().WithVMs(5).WithGroups(group)
	f := fleetsim.NewFleet(fleetsim.Options{Deployment: d, Seed: 3, Policy: p, StartWarm: true})
	defer f.Close()
	for _, tg := range f.Targets {
		tg.SetFaults(crashOnPoison)
	}
	time.Sleep(5 * time.Second)
	name := group.Name
	if group.Single {
		name = group.ServiceName(0)
	}
	background = &fleetsim.Traffic{Fleet: f, Group: name, Kind: kind, Rate: 50, Seed: 9}
	done := make(chan struct{})
	f.Daemons[0].Node.Group.Go(func() {
		background.Run(30 * time.Second)
		close(done)
	})
	for i := range 12 {
		sendPoisonRequest(f, f.Daemons[i%len(f.Daemons)], name, kind)
		time.Sleep(2 * time.Second)
		for _, tg := range f.Targets {
			if tg.Down() {
				tg.Restart()
			}
		}
	}
	<-done
	crashedByService := map[string]int{}
	for target, tg := range f.Targets {
		n := tg.Record().Crashes
		crashes += n
		if n > 0 {
			crashedByService[target[:len(target)-2]]++
		}
	}
	return crashes, lo.CountBy(lo.Values(crashedByService), func(n int) bool { return n > 1 && n >= group.Replicas }), background
}

func TestCrashingRequestMeetsFewTargets(t *testing.T) {
	groups := layout.Tochtwering().Groups
	cases := []struct {
		name  string
		group layout.Group
		kind  string
	}{
		{"search over 6 services", groups[0].WithCounts(6, 2), settings.KindSearch},
		{"look-up at 2 replicas", groups[1].WithCounts(1, 2), settings.KindLookup},
		{"look-up at 10 replicas", groups[2], settings.KindLookup},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				crashes, servicesLost, background := sendPoisonRequests(t, nil, c.group, c.kind)
				t.Log(crashes, background.Outcomes(), background.MeanCoverage())
				require.Positive(t, crashes)
				require.LessOrEqual(t, crashes, 2)
				require.Zero(t, servicesLost)
				require.GreaterOrEqual(t, float64(background.Outcomes()["done "])/float64(len(background.Samples)), 0.99)
			})
		})
	}
}

func TestCrashingRequestMeetsManyWithoutQuarantine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		without := policy.Relayed{Without: policy.Mechanisms{Canary: true, Quarantine: true}}
		crashes, _, _ := sendPoisonRequests(t, without, layout.Tochtwering().Groups[0].WithCounts(6, 2), settings.KindSearch)
		require.Greater(t, crashes, 2)
	})
}
