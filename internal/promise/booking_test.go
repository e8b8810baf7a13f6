package promise

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/faketarget"
	"github.com/knapweedpoint/knapweedpoint/internal/fleetsim"
	"github.com/knapweedpoint/knapweedpoint/internal/root"
	"github.com/knapweedpoint/knapweedpoint/pkg/caller"
	"github.com/knapweedpoint/knapweedpoint/pkg/platform"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

var crashOnPoison = faketarget.Faults{CrashOn: "poison"}

// sendPoisonRequest sends a request that crashes every target whose faults are crashOnPoison.
func sendPoisonRequest(f *fleetsim.Fleet, d *fleetsim.Daemon, group, kind string) caller.Answer {
	return d.Node.Root.Ask(context.Background(), root.Question{
		Team: f.Options.Deployment.Team, Group: group, Kind: kind, Body: []byte(`{"n":"poison"}`),
	})
}

func book(d *fleetsim.Daemon, key, body string, deadline time.Duration) caller.Answer {
	return d.Node.Root.Ask(context.Background(), root.Question{
		Team: "visits", Group: "grants", Kind: settings.KindBooking, Key: key, Body: []byte(body), Deadline: deadline,
	})
}

// executions returns how often the targets ran the booking of a key.
func executions(f *fleetsim.Fleet, key string) int {
	return lo.SumBy(lo.Values(f.Targets), func(t *faketarget.Target) int { return t.Record().Runs[key] })
}

// slowFleet returns the options of a small fleet whose targets take 300 ms for each request.
func slowFleet(seed uint64) fleetsim.Options {
	o := smallFleet(seed)
	o.StartWarm = true
	o.Target = func(s faketarget.Options) faketarget.Options {
		s.ServiceTime = settings.Duration(300 * time.Millisecond)
		s.ServiceTimeLogStdDev = 0.01
		return s
	}
	return o
}

// TestBookingRunsOnce sends a booking again under the same key in each of the ways that have led to double bookings in other
// systems, and requires that the booking runs once.
func TestBookingRunsOnce(t *testing.T) {
	cases := []struct {
		name string
		// resend sends the key again during or after the first attempt, which runs for 300 ms.
		resend func(f *fleetsim.Fleet, key string) caller.Answer
		// outcome is the outcome that the resend must get; empty accepts any.
		outcome string
	}{
		{"through another VM while the first runs", func(f *fleetsim.Fleet, key string) caller.Answer {
			time.Sleep(50 * time.Millisecond)
			return book(f.Daemons[1], key, `{"n":1}`, time.Second)
		}, "done"},
		{"through every VM at once", func(f *fleetsim.Fleet, key string) caller.Answer {
			for _, d := range f.Daemons {
				d.Node.Group.Go(func() { book(d, key, `{"n":1}`, time.Second) })
			}
			time.Sleep(time.Second)
			return book(f.Daemons[2], key, `{"n":1}`, time.Second)
		}, "done"},
		{"with another body", func(f *fleetsim.Fleet, key string) caller.Answer {
			time.Sleep(time.Second)
			return book(f.Daemons[1], key, `{"n":2}`, time.Second)
		}, "notRun"},
		{"after the first VM was killed while it ran", func(f *fleetsim.Fleet, key string) caller.Answer {
			time.Sleep(50 * time.Millisecond)
			f.Kill(f.Daemons[0])
			time.Sleep(time.Second)
			return book(f.Daemons[1], key, `{"n":1}`, time.Second)
		}, "unknown"},
		{"after the first VM was killed, delisted and replaced", func(f *fleetsim.Fleet, key string) caller.Answer {
			time.Sleep(50 * time.Millisecond)
			d := f.Daemons[0]
			f.Kill(d)
			f.PublishVMState(d.Name, "")
			time.Sleep(time.Second)
			f.Replace(d)
			f.PublishVMState(d.Name, platform.VMLive)
			time.Sleep(5 * time.Second)
			return book(f.Daemons[0], key, `{"n":1}`, time.Second)
		}, "unknown"},
		{"through a VM that is cut off", func(f *fleetsim.Fleet, key string) caller.Answer {
			f.Partition(func(d *fleetsim.Daemon) bool { return d == f.Daemons[1] })
			time.Sleep(50 * time.Millisecond)
			return book(f.Daemons[1], key, `{"n":1}`, time.Second)
		}, ""},
		{"20 min later", func(f *fleetsim.Fleet, key string) caller.Answer {
			time.Sleep(20 * time.Minute)
			return book(f.Daemons[1], key, `{"n":1}`, time.Second)
		}, "unknown"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := fleetsim.NewFleet(slowFleet(5))
				defer f.Close()
				time.Sleep(5 * time.Second)
				key := fleetsim.NewBookingKey(rand.New(rand.NewPCG(1, 1)), time.Now())
				f.Daemons[0].Node.Group.Go(func() { book(f.Daemons[0], key, `{"n":1}`, time.Second) })
				answer := c.resend(f, key)
				time.Sleep(2 * time.Second)
				require.Equal(t, 1, executions(f, key))
				if c.outcome != "" {
					require.Equal(t, c.outcome, answer.Outcome, answer.Reason)
				}
				require.NotEqual(t, caller.ReasonBodyChanged, lo.Ternary(c.name == "with another body", "", answer.Reason))
			})
		})
	}
}

// TestBookingOutcomeIsToldLater queries the outcome of a booking that was reported as unknown at the caller's deadline, and
// the outcome of a key that was never sent.
func TestBookingOutcomeIsToldLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleetsim.NewFleet(slowFleet(6))
		defer f.Close()
		time.Sleep(5 * time.Second)
		key := fleetsim.NewBookingKey(rand.New(rand.NewPCG(1, 2)), time.Now())
		first := book(f.Daemons[0], key, `{"n":1}`, 200*time.Millisecond)
		require.Equal(t, "unknown", first.Outcome)
		later := f.Daemons[2].Node.Root.BookingOutcome(root.Question{Team: "visits", Group: "grants", Key: key})
		require.Contains(t, []string{"unknown", "done"}, later.Outcome)
		unsent := f.Daemons[1].Node.Root.BookingOutcome(root.Question{Team: "visits", Group: "grants", Key: "never sent"})
		require.Equal(t, caller.ReasonNoRecord, unsent.Reason)
	})
}
