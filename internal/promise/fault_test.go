package promise

import (
	"encoding/json"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/fakeplatform"
	"github.com/knapweedpoint/knapweedpoint/internal/faketarget"
	"github.com/knapweedpoint/knapweedpoint/internal/fleetsim"
	"github.com/knapweedpoint/knapweedpoint/internal/layout"
	"github.com/knapweedpoint/knapweedpoint/pkg/platform"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// fault is a fault scenario that is applied to a fleet under load.
type fault struct {
	name string
	// apply injects the fault and returns when it has ended.
	apply func(f *fleetsim.Fleet)
	// minDone is the least share of the searches that must still be done.
	minDone float64
	// lowRate reduces the traffic to a tenth, for scenarios that last long.
	lowRate bool
}

// targetFault returns a scenario that applies faults to one target for 5 s.
func targetFault(f faketarget.Faults) func(*fleetsim.Fleet) {
	return func(fl *fleetsim.Fleet) {
		t := fl.Targets["visitSearch-01-1"]
		t.SetFaults(f)
		time.Sleep(5 * time.Second)
		t.SetFaults(faketarget.Faults{})
	}
}

func crashAndRestart(ts ...*faketarget.Target) {
	for _, t := range ts {
		t.Crash()
	}
	time.Sleep(3 * time.Second)
	for _, t := range ts {
		t.Restart()
	}
	time.Sleep(3 * time.Second)
}

// withTargets returns the tree under the next revision, with the targets of one service passed through change, which returns
// the new target and whether to keep it.
func withTargets(t settings.Tree, change func(settings.Target) (settings.Target, bool)) settings.Tree {
	team := t.Teams["visits"]
	services := maps.Clone(team.Services)
	sv := services["visitSearch-01"]
	sv.Targets = lo.FilterMap(sv.Targets, func(tg settings.Target, _ int) (settings.Target, bool) { return change(tg) })
	services["visitSearch-01"] = sv
	team.Services = services
	t.Teams = map[string]settings.Team{"visits": team}
	return t.WithRevision(t.Revision + 1)
}

// markOut marks or unmarks the targets of an availability zone as taken out. Marked targets count the batches that they still
// receive, so the mark is set only after the time within which an evacuation must be complete.
func markOut(f *fleetsim.Fleet, zone string, out bool) {
	for _, t := range f.TargetsInZone(zone) {
		t.SetFaults(faketarget.Faults{TakenOut: out})
	}
}

// zoneOutAndBack takes an availability zone out for the given time and puts it back with its targets restarted, thus cold.
func zoneOutAndBack(f *fleetsim.Fleet, zone string, outage time.Duration) {
	f.Publish(f.Tree.WithZoneState(zone, settings.ZoneOut).WithRevision(f.Tree.Revision + 1))
	time.Sleep(3 * time.Second)
	markOut(f, zone, true)
	time.Sleep(outage)
	markOut(f, zone, false)
	for _, t := range f.TargetsInZone(zone) {
		t.Crash()
		t.Restart()
	}
	f.Publish(f.Tree.WithZoneState(zone, settings.ZoneIn).WithRevision(f.Tree.Revision + 1))
	time.Sleep(2 * time.Second)
}

func faults() []fault {
	return []fault{
		{"daemon killed and replaced", func(f *fleetsim.Fleet) {
			d := f.Daemons[1]
			f.Kill(d)
			time.Sleep(3 * time.Second)
			f.PublishVMState(d.Name, "")
			time.Sleep(time.Second)
			f.Replace(d)
			f.PublishVMState(d.Name, platform.VMLive)
			time.Sleep(5 * time.Second)
		}, 0.9, false},
		{"daemon paused 30 s and resumed with a stale view", func(f *fleetsim.Fleet) {
			f.Daemons[1].Link.Pause()
			time.Sleep(5 * time.Second)
			zoneOutAndBack(f, "b", 20*time.Second)
			f.Daemons[1].Link.Resume()
			time.Sleep(5 * time.Second)
		}, 0.9, false},
		{"daemon paused while a zone is taken out, resumed while it is out", func(f *fleetsim.Fleet) {
			f.Daemons[0].Link.Pause()
			time.Sleep(2 * time.Second)
			f.Publish(f.Tree.WithZoneState("a", settings.ZoneOut).WithRevision(f.Tree.Revision + 1))
			time.Sleep(3 * time.Second)
			markOut(f, "a", true)
			f.Daemons[0].Link.Resume()
			time.Sleep(10 * time.Second)
			markOut(f, "a", false)
		}, 0.9, false},
		{"peers partitioned", func(f *fleetsim.Fleet) {
			f.Partition(func(d *fleetsim.Daemon) bool { return d == f.Daemons[0] })
			time.Sleep(10 * time.Second)
			f.Heal()
		}, 0.5, false},
		{"peers partitioned in one direction", func(f *fleetsim.Fleet) {
			f.Daemons[0].Link.Cut(f.Daemons[1].Name, f.Daemons[2].Name)
			time.Sleep(10 * time.Second)
			f.Heal()
		}, 0.5, false},
		{"peers partitioned, platform reachable from one side only, a zone taken out", func(f *fleetsim.Fleet) {
			f.Partition(func(d *fleetsim.Daemon) bool { return d == f.Daemons[0] })
			f.Daemons[0].Link.CutPlatform(true)
			zoneOutAndBack(f, "b", 5*time.Second)
			f.Heal()
			time.Sleep(2 * time.Second)
		}, 0.5, false},
		{"platform down 10 min", func(f *fleetsim.Fleet) {
			f.Platform.SetFaults(fakeplatform.Faults{Down: true})
			time.Sleep(10 * time.Minute)
			f.Heal()
		}, 0.99, true},
		{"platform down on half the fleet, a zone taken out", func(f *fleetsim.Fleet) {
			f.Daemons[0].Link.CutPlatform(true)
			time.Sleep(time.Second)
			zoneOutAndBack(f, "b", 5*time.Second)
			f.Heal()
		}, 0.97, false},
		{"platform stale after a zone was taken out", func(f *fleetsim.Fleet) {
			f.Publish(f.Tree.WithZoneState("b", settings.ZoneOut).WithRevision(f.Tree.Revision + 1))
			time.Sleep(2 * time.Second)
			f.Platform.SetFaults(fakeplatform.Faults{Stale: 1})
			time.Sleep(time.Second)
			markOut(f, "b", true)
			time.Sleep(10 * time.Second)
			markOut(f, "b", false)
			f.Heal()
		}, 0.97, false},
		{"VM list updated 60 s after a daemon was killed", func(f *fleetsim.Fleet) {
			f.Platform.SetFaults(fakeplatform.Faults{VMListLag: settings.Duration(time.Minute)})
			d := f.Daemons[2]
			f.Kill(d)
			f.PublishVMState(d.Name, "")
			crashAndRestart(f.Targets["visitSearch-02-1"])
			time.Sleep(time.Minute)
			f.Replace(d)
			f.Platform.SetFaults(fakeplatform.Faults{})
			f.PublishVMState(d.Name, platform.VMLive)
		}, 0.9, false},
		{"target killed and restarted", func(f *fleetsim.Fleet) { crashAndRestart(f.Targets["visitSearch-01-1"]) }, 0.99, false},
		{"target frozen", targetFault(faketarget.Faults{Frozen: true}), 0.97, false},
		{"target slowed down 10 times", targetFault(faketarget.Faults{SlowFactor: 10}), 0.97, false},
		{"target sheds load", targetFault(faketarget.Faults{Shed: true}), 0.97, false},
		{"target drains", targetFault(faketarget.Faults{Draining: true}), 0.97, false},
		{"target reports no load and hides its cold start", func(f *fleetsim.Fleet) {
			t := f.Targets["visitSearch-01-1"]
			t.SetFaults(faketarget.Faults{MisreportLoad: true})
			crashAndRestart(t)
		}, 0.97, false},
		{"replies truncated", targetFault(faketarget.Faults{Truncate: true}), 0.97, false},
		{"replies cut within their head", targetFault(faketarget.Faults{CutHead: 12}), 0.97, false},
		{"replies duplicated", targetFault(faketarget.Faults{Duplicate: true}), 0.97, false},
		{"replies out of order", targetFault(faketarget.Faults{Reorder: true}), 0.97, false},
		{"replies of the wrong snapshot", targetFault(faketarget.Faults{WrongSnapshot: "s0"}), 0.97, false},
		{"all targets of a zone cold at once", func(f *fleetsim.Fleet) { crashAndRestart(f.TargetsInZone("a")...) }, 0.9, false},
		{"zone out and back", func(f *fleetsim.Fleet) { zoneOutAndBack(f, "b", 5*time.Second) }, 0.97, false},
		{"two revisions in 100 ms, the zone out and in again", func(f *fleetsim.Fleet) {
			f.Publish(f.Tree.WithZoneState("c", settings.ZoneOut).WithRevision(f.Tree.Revision + 1))
			time.Sleep(100 * time.Millisecond)
			f.Publish(f.Tree.WithZoneState("c", settings.ZoneIn).WithRevision(f.Tree.Revision + 1))
			time.Sleep(3 * time.Second)
		}, 0.97, false},
		{"target drained, then removed, then back", func(f *fleetsim.Fleet) {
			victim := f.Targets["visitSearch-01-1"]
			before := f.Tree
			f.Publish(withTargets(f.Tree, func(t settings.Target) (settings.Target, bool) {
				if t.Name == "visitSearch-01-1" {
					t.State = settings.TargetDrain
				}
				return t, true
			}))
			time.Sleep(3 * time.Second)
			victim.SetFaults(faketarget.Faults{TakenOut: true})
			time.Sleep(time.Second)
			f.Publish(withTargets(f.Tree, func(t settings.Target) (settings.Target, bool) { return t, t.Name != "visitSearch-01-1" }))
			time.Sleep(2 * time.Second)
			victim.SetFaults(faketarget.Faults{})
			victim.Crash()
			victim.Restart()
			f.Publish(before.WithRevision(f.Tree.Revision + 1))
			time.Sleep(2 * time.Second)
		}, 0.99, false},
		{"two daemons drained together, then replaced", func(f *fleetsim.Fleet) {
			leaving := []*fleetsim.Daemon{f.Daemons[1], f.Daemons[2]}
			for _, d := range leaving {
				d.Node.Drain()
				f.PublishVMState(d.Name, platform.VMLeaving)
			}
			time.Sleep(3 * time.Second)
			for _, d := range leaving {
				f.Kill(d)
				f.Replace(d)
			}
			f.PublishVMState(leaving[0].Name, platform.VMLive)
			time.Sleep(8 * time.Second)
		}, 0.97, false},
		{"invalid configuration between two valid ones", func(f *fleetsim.Fleet) {
			raw, _ := json.Marshal(f.Tree.WithRevision(f.Tree.Revision+1).WithZoneState("a", "sideways"))
			_ = f.Platform.Publish(raw)
			time.Sleep(2 * time.Second)
			f.Publish(f.Tree.WithRevision(f.Tree.Revision+2).WithZoneState("c", settings.ZoneOut))
			time.Sleep(3 * time.Second)
			markOut(f, "c", true)
			time.Sleep(3 * time.Second)
			markOut(f, "c", false)
		}, 0.97, false},
	}
}

// underFault runs searches, look-ups and bookings while it applies the faults one after another. One of the two streams of
// bookings sends each booking three times, through daemons chosen at random.
func underFault(t *testing.T, o fleetsim.Options, fs ...fault) (*fleetsim.Fleet, []*fleetsim.Traffic) {
	t.Helper()
	f := fleetsim.NewFleet(o)
	defer f.Close()
	time.Sleep(5 * time.Second)
	stop := make(chan struct{})
	traffic := []*fleetsim.Traffic{
		{Fleet: f, Group: "visitSearch", Kind: settings.KindSearch, Rate: 40, Seed: o.Seed},
		{Fleet: f, Group: "jobCards", Kind: settings.KindLookup, Rate: 20, Seed: o.Seed + 1},
		{Fleet: f, Group: "grants", Kind: settings.KindBooking, Rate: 10, Seed: o.Seed + 2, Resends: 2},
		{Fleet: f, Group: "grants", Kind: settings.KindBooking, Rate: 10, Seed: o.Seed + 3},
	}
	var group sync.WaitGroup
	for _, tr := range traffic {
		if fs[0].lowRate {
			tr.Rate /= 10
		}
		group.Go(func() { tr.RunUntil(stop) })
	}
	time.Sleep(3 * time.Second)
	for _, x := range fs {
		x.apply(f)
	}
	time.Sleep(3 * time.Second)
	close(stop)
	group.Wait()
	return f, traffic
}

func smallFleet(seed uint64) fleetsim.Options {
	return fleetsim.Options{Deployment: layout.Small(), BookingMargin: time.Second, Seed: seed}
}

func TestPromisesUnderEachFault(t *testing.T) {
	for i, x := range faults() {
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f, traffic := underFault(t, smallFleet(uint64(i)+1), x)
				require.Empty(t, fleetsim.Verify(f, traffic...))
				counted, done := 0, 0
				for _, s := range traffic[0].Samples {
					// Answers that took 1 s or more aren't counted: a request that waits at a paused daemon can't be answered in time.
					if s.Latency < time.Second {
						counted++
					}
					if s.Latency < time.Second && s.Answer.Outcome == "done" {
						done++
					}
				}
				t.Log(traffic[0].Outcomes(), traffic[0].MeanCoverage(), traffic[1].Outcomes(), traffic[2].Outcomes(), traffic[3].Outcomes())
				require.GreaterOrEqual(t, float64(done)/float64(counted), x.minDone)
			})
		})
	}
}
