package promise

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/faketarget"
	"github.com/knapweedpoint/knapweedpoint/internal/fleetsim"
	"github.com/knapweedpoint/knapweedpoint/internal/root"
	"github.com/knapweedpoint/knapweedpoint/pkg/caller"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// warmFleet returns a running fleet whose targets are warm.
func warmFleet(seed uint64) *fleetsim.Fleet {
	o := smallFleet(seed)
	o.StartWarm = true
	f := fleetsim.NewFleet(o)
	time.Sleep(5 * time.Second)
	return f
}

func ask(f *fleetsim.Fleet, group, kind string, n int) caller.Answer {
	return f.Daemons[0].Node.Root.Ask(context.Background(), root.Question{
		Team: "visits", Group: group, Kind: kind, Key: fmt.Sprint("key-", n), Body: fmt.Appendf(nil, `{"n":%d}`, n), Deadline: time.Second,
	})
}

// Guards against requests that wait for a hold, against a part that is missing without its reason, and against a delay
// for callers at whose end no target takes them.
func TestAllTargetsOfAServiceAreLeftOut(t *testing.T) {
	for _, c := range []struct {
		name, group, kind string
		targets           []string
		faults            faketarget.Faults
		outcome, reason   string
		comesBack         bool
	}{
		{"search, one service holds off", "visitSearch", settings.KindSearch, []string{"visitSearch-01-1", "visitSearch-01-2"}, faketarget.Faults{Shed: true, RetryAfter: 3}, "done", caller.ReasonTargetsHoldOff, true},
		{"look-up, all hold off", "jobCards", settings.KindLookup, []string{"jobCards-01-1", "jobCards-01-2", "jobCards-01-3"}, faketarget.Faults{Shed: true, RetryAfter: 3}, "notRun", caller.ReasonTargetsHoldOff, true},
		{"booking, all hold off", "grants", settings.KindBooking, []string{"grants-01-1", "grants-01-2"}, faketarget.Faults{Shed: true, RetryAfter: 3}, "notRun", caller.ReasonTargetsHoldOff, true},
		{"search, one service leaves", "visitSearch", settings.KindSearch, []string{"visitSearch-01-1", "visitSearch-01-2"}, faketarget.Faults{Draining: true}, "done", caller.ReasonTargetsLeaving, false},
		{"look-up, all leave", "jobCards", settings.KindLookup, []string{"jobCards-01-1", "jobCards-01-2", "jobCards-01-3"}, faketarget.Faults{Draining: true}, "notRun", caller.ReasonTargetsLeaving, false},
		{"booking, all leave", "grants", settings.KindBooking, []string{"grants-01-1", "grants-01-2"}, faketarget.Faults{Draining: true}, "notRun", caller.ReasonTargetsLeaving, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := warmFleet(1)
				defer f.Close()
				for _, n := range c.targets {
					f.Targets[n].SetFaults(c.faults)
				}
				ask(f, c.group, c.kind, 0)
				for _, n := range c.targets {
					f.Targets[n].SetFaults(faketarget.Faults{})
				}
				var a caller.Answer
				for i := range 20 {
					began := time.Now()
					a = ask(f, c.group, c.kind, i+1)
					require.Less(t, time.Since(began), 100*time.Millisecond)
					require.Equal(t, c.outcome, a.Outcome, a.Reason)
					if c.kind == settings.KindSearch {
						require.Equal(t, []caller.Missing{{Partition: "p-visitSearch-01", Records: 1000, Reason: c.reason}}, a.Coverage.Missing)
					} else {
						require.Equal(t, c.reason, a.Reason)
					}
					time.Sleep(100 * time.Millisecond)
				}
				for _, n := range c.targets {
					require.Zero(t, f.Targets[n].Record().BatchesInHold+f.Targets[n].Record().BatchesAfterLeaving, n)
				}
				if !c.comesBack {
					for _, n := range c.targets {
						f.Targets[n].Crash()
						f.Targets[n].Restart()
					}
					time.Sleep(1500 * time.Millisecond)
				} else if c.outcome == "notRun" {
					time.Sleep(time.Duration(a.RetryAfterMs)*time.Millisecond - 100*time.Millisecond)
				} else {
					time.Sleep(time.Second)
				}
				a = ask(f, c.group, c.kind, 100)
				require.Equal(t, "done", a.Outcome, a.Reason)
				if a.Coverage != nil {
					require.Empty(t, a.Coverage.Missing)
				}
			})
		})
	}
}

// Guards against requests that wait, fail or cost budget because one replica leaves or holds off while another is free.
func TestOneReplicaIsLeftOut(t *testing.T) {
	var usual uint64
	for _, c := range []struct {
		name   string
		faults faketarget.Faults
	}{
		{"none", faketarget.Faults{}},
		{"leaves by a result", faketarget.Faults{Leaving: true}},
		{"leaves by a refusal", faketarget.Faults{Draining: true}},
		{"holds off", faketarget.Faults{Shed: true, RetryAfter: 600}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := warmFleet(2)
				defer f.Close()
				extraSends := func() (n uint64) {
					for _, d := range f.Daemons {
						_, extra := d.Node.Root.Budget.Counts()
						n += extra
					}
					return n
				}
				warm := &fleetsim.Traffic{Fleet: f, Group: "visitSearch", Kind: settings.KindSearch, Rate: 20, Seed: 3}
				warm.Run(2 * time.Second)
				victim := f.Targets["visitSearch-01-1"]
				victim.SetFaults(c.faults)
				before := extraSends()
				s := &fleetsim.Traffic{Fleet: f, Group: "visitSearch", Kind: settings.KindSearch, Rate: 20, Seed: 4}
				s.Run(20 * time.Second)
				require.Empty(t, fleetsim.Verify(f, warm, s))
				for _, x := range s.Samples {
					require.Equal(t, "done", x.Answer.Outcome)
					require.Empty(t, x.Answer.Coverage.Missing)
					require.Less(t, x.Latency, 100*time.Millisecond)
				}
				r := victim.Record()
				require.Zero(t, r.BatchesInHold+r.BatchesAfterLeaving)
				if c.faults.RetryAfter > 0 {
					require.Equal(t, 1, r.Shed)
				}
				extra := extraSends() - before
				if c.name == "none" {
					usual = extra
				}
				require.LessOrEqual(t, extra, usual+uint64(len(f.Daemons)), "one retry of each daemon beside the usual hedges")
			})
		})
	}
}

// Guards against requests to targets that leave or hold off, and against targets that stay unused without a notice, in
// whatever order notices, restarts and pauses of daemons come.
func TestNoticesOfTargetsInRandomOrder(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := warmFleet(seed)
				defer f.Close()
				rng := rand.New(rand.NewPCG(seed, 1))
				s := &fleetsim.Traffic{Fleet: f, Group: "visitSearch", Kind: settings.KindSearch, Rate: 20, Seed: seed}
				b := &fleetsim.Traffic{Fleet: f, Group: "grants", Kind: settings.KindBooking, Rate: 10, Seed: seed}
				stop := make(chan struct{})
				var group sync.WaitGroup
				group.Go(func() { b.RunUntil(stop) })
				group.Go(func() { s.RunUntil(stop) })
				names := []string{"visitSearch-01-1", "visitSearch-01-2", "visitSearch-02-1", "grants-01-1", "grants-01-2"}
				for range 60 {
					x := f.Targets[names[rng.IntN(len(names))]]
					switch rng.IntN(5) {
					case 0:
						x.SetFaults(faketarget.Faults{Leaving: true})
					case 1:
						x.SetFaults(faketarget.Faults{Draining: true, RetryAfter: float64(rng.IntN(3))})
					case 2:
						x.SetFaults(faketarget.Faults{Shed: true, RetryAfter: 3 * rng.Float64()})
					case 3:
						x.SetFaults(faketarget.Faults{})
					default:
						x.SetFaults(faketarget.Faults{})
						x.Crash()
						time.Sleep(time.Duration(200+rng.IntN(1000)) * time.Millisecond)
						x.Restart()
					}
					time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
				}
				for _, n := range names {
					f.Targets[n].SetFaults(faketarget.Faults{})
					f.Targets[n].Crash()
				}
				time.Sleep(200 * time.Millisecond)
				for _, n := range names {
					f.Targets[n].Restart()
				}
				time.Sleep(2 * time.Second)
				for _, d := range f.Daemons {
					require.Zero(t, leftOut(d), d.Name)
				}
				a := ask(f, "visitSearch", settings.KindSearch, 0)
				close(stop)
				group.Wait()
				require.Equal(t, "done", a.Outcome, a.Reason)
				require.Empty(t, a.Coverage.Missing)
				require.Empty(t, fleetsim.Verify(f, s, b))
				for _, n := range names {
					r := f.Targets[n].Record()
					require.Zero(t, r.BatchesInHold, n)
					require.Zero(t, r.BatchesAfterLeaving, n)
				}
			})
		})
	}
}

// Guards against many requests to a target that leaves or holds off when another daemon becomes its relay.
func TestNewRelayMeetsANoticeOnce(t *testing.T) {
	for name, faults := range map[string]faketarget.Faults{
		"leaving": {Leaving: true},
		"hold":    {Shed: true, RetryAfter: 600},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := warmFleet(6)
				defer f.Close()
				victim := f.Targets["visitSearch-01-1"]
				victim.SetFaults(faults)
				s := &fleetsim.Traffic{Fleet: f, Group: "visitSearch", Kind: settings.KindSearch, Rate: 40, Seed: 6}
				s.Run(5 * time.Second)
				before, ok := lo.Find(f.Daemons, func(d *fleetsim.Daemon) bool { return leftOut(d) > 0 })
				require.True(t, ok)
				require.Zero(t, victim.Record().BatchesAfterLeaving+victim.Record().BatchesInHold)

				f.Kill(before)
				f.PublishVMState(before.Name, "")
				alive := lo.Without(f.Daemons, before)
				s.Choose = func(r *rand.Rand) *fleetsim.Daemon { return alive[r.IntN(len(alive))] }
				s.Run(20 * time.Second)
				require.True(t, lo.SomeBy(alive, func(d *fleetsim.Daemon) bool { return leftOut(d) > 0 }), "another relay has met the notice")
				require.Equal(t, 1, victim.Record().BatchesAfterLeaving+victim.Record().BatchesInHold)
				require.Empty(t, fleetsim.Verify(f, s))
			})
		})
	}
}

func leftOut(d *fleetsim.Daemon) int {
	leaving, holding := d.Node.Relay.LeftOut()
	return leaving + holding
}
