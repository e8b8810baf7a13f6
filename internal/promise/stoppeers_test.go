package promise

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/fleetsim"
	"github.com/knapweedpoint/knapweedpoint/internal/root"
	"github.com/knapweedpoint/knapweedpoint/pkg/caller"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// Guards against late or false answers when peers of a daemon that stops are frozen or cut off, or when a frozen peer has
// passed work on to it.
func TestStopBesideFrozenAndCutOffPeersIsTruthful(t *testing.T) {
	const (
		acceptAll = time.Second
		answerBy  = 3 * time.Second
		exit      = 4 * time.Second
	)
	groups := map[string]string{settings.KindSearch: "visitSearch", settings.KindLookup: "jobCards", settings.KindBooking: "grants"}
	freeze := func(d *fleetsim.Daemon) func(*fleetsim.Fleet) { return func(*fleetsim.Fleet) { d.Link.Pause() } }
	cutOff := func(d *fleetsim.Daemon) func(*fleetsim.Fleet) {
		return func(f *fleetsim.Fleet) { f.Partition(func(x *fleetsim.Daemon) bool { return x == d }) }
	}
	for _, fault := range []struct {
		name string
		of   func(*fleetsim.Daemon) func(*fleetsim.Fleet)
	}{{"frozen", freeze}, {"cut off", cutOff}} {
		for victim, name := range []string{"the stopping daemon", "a peer", "another peer"} {
			for _, at := range []time.Duration{-1050 * time.Millisecond, -200 * time.Millisecond, 0, 500 * time.Millisecond} {
				if victim == 0 && fault.name == "frozen" {
					continue // TestStopAnswersRequestsAfterAStall freezes the process that stops.
				}
				t.Run(name+" is "+fault.name+" at "+at.String(), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						f := fleetsim.NewFleet(slowFleet(1))
						defer f.Close()
						stopping, daemons := f.Daemons[0], f.Daemons
						signal := time.Now().Add(10 * time.Second)
						time.AfterFunc(time.Until(signal.Add(at)), func() { fault.of(daemons[victim])(f) })
						time.AfterFunc(time.Until(signal), func() {
							stopping.Node.Root.Stop.Set(signal.Add(acceptAll), signal.Add(answerBy))
							stopping.Node.Drain()
						})
						time.AfterFunc(time.Until(signal.Add(exit)), func() { f.Kill(stopping) })
						time.AfterFunc(time.Until(signal.Add(exit+time.Second)), f.Heal)
						type result struct {
							caller.Answer
							from, kind, key string
							at              time.Duration
						}
						results := make(chan result, 100)
						sent := 0
						for _, after := range []time.Duration{-1100 * time.Millisecond, -250 * time.Millisecond, -10 * time.Millisecond, 400 * time.Millisecond} {
							time.Sleep(time.Until(signal.Add(after)))
							for _, d := range daemons {
								for _, kind := range []string{settings.KindSearch, settings.KindLookup, settings.KindBooking} {
									key := d.Name + kind + after.String()
									sent++
									d.Node.Group.Go(func() {
										a := d.Node.Root.Ask(context.Background(), root.Question{
											Team: "visits", Group: groups[kind], Kind: kind, Key: key, Body: []byte(`{"n":1}`), Deadline: 10 * time.Second,
										})
										results <- result{a, d.Name, kind, key, time.Since(signal)}
									})
								}
							}
						}
						time.Sleep(2 * time.Minute)
						require.Len(t, results, sent)
						for range sent {
							r := <-results
							if r.from == stopping.Name {
								require.LessOrEqual(t, r.at, answerBy, r)
							}
							if r.kind != settings.KindBooking {
								continue
							}
							switch runs := executions(f, r.key); r.Outcome {
							case "done":
								require.Equal(t, 1, runs, r)
							case "notRun":
								require.Zero(t, runs, r)
							default:
								require.LessOrEqual(t, runs, 1, r)
							}
						}
					})
				})
			}
		}
	}
}
