package promise

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/faketarget"
	"github.com/knapweedpoint/knapweedpoint/internal/fleetsim"
	"github.com/knapweedpoint/knapweedpoint/internal/node"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
	"github.com/knapweedpoint/knapweedpoint/internal/relay"
	"github.com/knapweedpoint/knapweedpoint/internal/root"
	"github.com/knapweedpoint/knapweedpoint/pkg/caller"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// Guards against requests without an answer at the end of a daemon's stop, and against false statements in these answers.
func TestStopEndsRequestsInTimeAndTruthfully(t *testing.T) {
	const (
		acceptAll = time.Second
		answerBy  = 3 * time.Second
		key       = "stopped"
	)
	freeze := func(targets ...string) func(f *fleetsim.Fleet) {
		return func(f *fleetsim.Fleet) {
			if len(targets) == 0 {
				targets = slices.Collect(maps.Keys(f.Targets))
			}
			for _, name := range targets {
				f.Targets[name].SetFaults(faketarget.Faults{Frozen: true})
			}
		}
	}
	none := func(*fleetsim.Fleet) {}
	cases := []struct {
		name, kind, group string
		// prepare changes the fleet before the request is sent.
		prepare func(f *fleetsim.Fleet)
		// sent is when the request is sent, counted from the signal.
		sent, deadline time.Duration
		outcome        string
		reason         string
		// answered is when the answer must be there, counted from the signal.
		answered time.Duration
		runs     int
	}{
		{"search in flight, all targets hang", settings.KindSearch, "visitSearch", freeze(), -time.Second, time.Minute, "unknown", caller.ReasonDeadline, answerBy, 0},
		{"search in flight, one service hangs", settings.KindSearch, "visitSearch", freeze("visitSearch-01-1", "visitSearch-01-2"), -time.Second, time.Minute, "done", "", answerBy, 0},
		{"booking in flight, its target hangs", settings.KindBooking, "grants", freeze(), -time.Second, time.Minute, "unknown", "", answerBy, 1},
		{"booking in flight at its own deadline", settings.KindBooking, "grants", freeze(), -time.Second, 2 * time.Second, "unknown", caller.ReasonDeadline, time.Second, 1},
		{"search at first", settings.KindSearch, "visitSearch", none, 100 * time.Millisecond, time.Minute, "done", "", acceptAll, 0},
		{"booking at first", settings.KindBooking, "grants", none, 100 * time.Millisecond, time.Minute, "done", "", acceptAll, 1},
		{"booking at first, its target hangs", settings.KindBooking, "grants", freeze(), 100 * time.Millisecond, time.Minute, "unknown", "", answerBy, 1},
		{"look-up later, fits", settings.KindLookup, "jobCards", none, acceptAll + 100*time.Millisecond, time.Second, "done", "", 2 * time.Second, 0},
		{"look-up later, hangs", settings.KindLookup, "jobCards", freeze(), acceptAll + 100*time.Millisecond, time.Second, "unknown", "", acceptAll + 1100*time.Millisecond, 0},
		{"booking later, fits", settings.KindBooking, "grants", none, acceptAll + 100*time.Millisecond, time.Second, "done", "", 2 * time.Second, 1},
		{"look-up later, does not fit", settings.KindLookup, "jobCards", none, acceptAll + 100*time.Millisecond, 2 * time.Second, "notRun", caller.ReasonStopping, acceptAll + 100*time.Millisecond, 0},
		{"booking later, does not fit", settings.KindBooking, "grants", none, acceptAll + 100*time.Millisecond, 2 * time.Second, "notRun", caller.ReasonStopping, acceptAll + 100*time.Millisecond, 0},
		{"booking after all answers", settings.KindBooking, "grants", none, answerBy + time.Millisecond, 10 * time.Millisecond, "notRun", caller.ReasonStopping, answerBy + time.Millisecond, 0},
		{"booking held by another VM", settings.KindBooking, "grants", func(f *fleetsim.Fleet) {
			freeze()(f)
			f.Daemons[1].Node.Group.Go(func() { book(f.Daemons[1], key, `{"n":1}`, time.Minute) })
			time.Sleep(100 * time.Millisecond)
		}, -500 * time.Millisecond, time.Minute, "unknown", "", answerBy, 1},
		{"booking whose witnesses are silent", settings.KindBooking, "grants", func(f *fleetsim.Fleet) {
			f.Kill(f.Daemons[1])
			f.Kill(f.Daemons[2])
		}, -500 * time.Millisecond, time.Minute, "notRun", caller.ReasonNoWitness, answerBy, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := smallFleet(1)
				o.StartWarm = true
				f := fleetsim.NewFleet(o)
				defer f.Close()
				d := f.Daemons[0]
				signal := time.Now().Add(10 * time.Second)
				time.AfterFunc(time.Until(signal), func() {
					d.Node.Root.Stop.Set(signal.Add(acceptAll), signal.Add(answerBy))
					d.Node.Drain()
				})
				time.Sleep(time.Until(signal.Add(min(c.sent, 0) - time.Second)))
				c.prepare(f)
				time.Sleep(time.Until(signal.Add(c.sent)))
				a := d.Node.Root.Ask(context.Background(), root.Question{
					Team: "visits", Group: c.group, Kind: c.kind, Key: key, Body: []byte(`{"n":1}`), Deadline: c.deadline,
				})
				took := time.Since(signal)
				require.Equal(t, c.outcome, a.Outcome, a.Reason)
				if c.reason != "" {
					require.Equal(t, c.reason, a.Reason)
				}
				require.LessOrEqual(t, took, c.answered)
				if c.outcome == "notRun" {
					require.Positive(t, a.RetryAfterMs)
				}
				time.Sleep(2 * time.Minute)
				require.Equal(t, c.runs, executions(f, key))
			})
		})
	}
}

// idleSender counts the results that a relay sends while it reports to be idle.
type idleSender struct {
	relay.Sender
	node *node.Node
	idle atomic.Int64
}

func (s *idleSender) SendResult(to string, r *peerpb.SubResult) {
	if s.node.Relay.Idle() {
		s.idle.Add(1)
	}
	s.Sender.SendResult(to, r)
}

// Guards against an exit before the outcome of a booking, or a result for another VM, has been delivered.
func TestStopWaitsUntilOutcomesAndResultsAreDelivered(t *testing.T) {
	for i := range 3 {
		synctest.Test(t, func(t *testing.T) {
			f := fleetsim.NewFleet(slowFleet(uint64(i)))
			defer f.Close()
			time.Sleep(10 * time.Second)
			stopping := f.Daemons[i]
			sender := &idleSender{Sender: stopping.Node.Relay.Sender, node: stopping.Node}
			stopping.Node.Relay.Sender = sender
			answers := make(chan caller.Answer, len(f.Daemons))
			for n, d := range f.Daemons {
				d.Node.Group.Go(func() {
					answers <- book(d, "key-"+d.Name, `{"n":1}`, time.Second)
				})
				time.Sleep(time.Duration(n) * time.Millisecond)
			}
			time.Sleep(100 * time.Millisecond)
			require.False(t, stopping.Node.Root.Idle())
			stopping.Node.Drain()
			for !stopping.Node.Idle() || !stopping.Node.Outboxes.Idle() {
				time.Sleep(time.Millisecond)
			}
			f.Kill(stopping)
			require.Zero(t, sender.idle.Load(), "the relay was idle while it had a result to send")
			time.Sleep(2 * time.Second)
			for range f.Daemons {
				a := <-answers
				require.Equal(t, "done", a.Outcome, a.Reason)
			}
			other := f.Daemons[(i+1)%3]
			a := other.Node.Root.BookingOutcome(root.Question{Team: "visits", Group: "grants", Key: "key-" + stopping.Name})
			require.Equal(t, "done", a.Outcome, a.Reason)
		})
	}
}
