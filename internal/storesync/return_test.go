package storesync_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
)

const (
	// contactBound is the time after the store's return within which a daemon must act on what the store holds.
	contactBound = 4 * time.Second
	// readerBound is the time after the store's return within which the store reader has read it: the time between two of
	// its reads, which is longer than that between two probes, and a call.
	readerBound = 1100 * time.Millisecond
)

var errRefused = errors.New("store refused the call")

// outage is a time in which the store does not answer as usual.
type outage struct {
	name   string
	fault  func(ctx context.Context) error
	lasts  time.Duration
	fleet  int
	offset time.Duration
	// partitioned is set if no daemon reaches any other one.
	partitioned bool
}

// outages returns outages of all kinds and lengths in fleets of several sizes, which begin at random times.
func outages() []outage {
	kinds := []struct {
		name  string
		fault func(ctx context.Context) error
	}{
		{"silent", func(ctx context.Context) error { <-ctx.Done(); return errDown }},
		{"refusing", func(context.Context) error { time.Sleep(callLatency); return errRefused }},
		{"resetting", func(ctx context.Context) error { return sleep(ctx, 150*time.Millisecond) }},
		{"answering too late", func(ctx context.Context) error { return sleep(ctx, 2500*time.Millisecond) }},
		{"silent for three calls of four", func(ctx context.Context) error {
			if rand.IntN(4) == 0 {
				return errRefused
			}
			<-ctx.Done()
			return errDown
		}},
	}
	random := rand.New(rand.NewPCG(7, 7))
	var out []outage
	for _, k := range kinds {
		for _, lasts := range []time.Duration{500, 1700, 3500, 6000, 15000, 60000} {
			for _, fleet := range []int{1, 2, 3, 7, 15} {
				o := outage{
					name: fmt.Sprintf("%s for %v, %d daemons", k.name, lasts*time.Millisecond, fleet), fault: k.fault,
					lasts: lasts * time.Millisecond, fleet: fleet, offset: time.Duration(random.Int64N(int64(1500 * time.Millisecond))),
				}
				out = append(out, o)
				o.name, o.partitioned = o.name+", partitioned", true
				out = append(out, o)
			}
		}
	}
	return out
}

// sleep returns an error after a time, or when ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return errRefused
	case <-ctx.Done():
		return errDown
	}
}

// play starts a fleet and plays the outage; before is called 20 ms before it begins.
func (o outage) play(before func(s *store)) *fleet {
	f := startFleetOf(newStore(), o.fleet)
	time.Sleep(o.offset)
	if o.partitioned {
		for i := range o.fleet {
			f.setPartitioned(i, true)
		}
	}
	before(f.store)
	time.Sleep(20 * time.Millisecond)
	f.store.setFault(o.fault)
	time.Sleep(o.lasts)
	f.store.setFault(nil)
	return f
}

func hasTarget(id string) func(platformstate.State) bool {
	return func(s platformstate.State) bool { _, ok := s.Inventory.Target(id); return ok }
}

// Guards against a daemon that still waits for an unanswered call, or for the end of a backoff, when the store has long
// returned, and acts on an older configuration meanwhile.
func TestStoreIsReadSoonAfterItsReturn(t *testing.T) {
	for _, o := range outages() {
		t.Run(o.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := o.play(func(*store) {})
				defer f.close()
				back := time.Now()
				f.within(t, readerBound, []int{0}, func(s platformstate.State) bool { return !s.CompleteAt().Before(back) })
				f.store.changeOperatorState(func() { f.store.version = 2; f.store.zonesOut = []string{"b"} })
				f.within(t, contactBound-time.Since(back), lo.Range(o.fleet), func(s platformstate.State) bool {
					return s.OperatorState.Version() == 2 && lo.Contains(s.OperatorState.ZonesOut, "b")
				})
			})
		})
	}
}

// Guards against a daemon that gives up each call to a slow store too early, and learns nothing from it.
func TestSlowStoreIsFollowed(t *testing.T) {
	const answersAfter = 2500 * time.Millisecond
	for _, daemons := range []int{1, 2, 13} {
		t.Run(fmt.Sprint(daemons), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleetOf(newStore(), daemons)
				defer f.close()
				f.store.setFault(func(ctx context.Context) error {
					if errors.Is(sleep(ctx, answersAfter), errDown) {
						return errDown
					}
					return nil
				})
				time.Sleep(10 * time.Second)
				for version := uint64(2); version < 6; version++ {
					f.store.setVersion(version)
					// A call that began before the change may have to end first.
					f.within(t, 3*answersAfter, lo.Range(daemons), hasVersion(version))
				}
			})
		})
	}
}

// Guards against targets that were removed before an outage of the store, or after its return, and that some daemon uses for
// longer than the time after the return within which expired entries are back.
func TestRemovedTargetsAreDroppedSoonAfterTheStoreReturns(t *testing.T) {
	for _, o := range outages() {
		t.Run(o.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := o.play(func(s *store) { s.remove("t2") })
				defer f.close()
				back := time.Now()
				time.Sleep(100 * time.Millisecond)
				f.store.remove("t4")
				f.within(t, contactBound-time.Since(back), lo.Range(o.fleet), func(s platformstate.State) bool {
					return !hasTarget("t2")(s) && !hasTarget("t4")(s)
				})
			})
		})
	}
}

// Guards against live targets that a daemon drops because their entries expired while the store was silent.
func TestExpiredEntriesAreKeptUntilTheirTargetsRenewThem(t *testing.T) {
	for _, o := range outages() {
		if o.lasts < 3*heartbeat {
			continue
		}
		t.Run(o.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := o.play(func(*store) {})
				defer f.close()
				ids := lo.Times(40, func(i int) string { return fmt.Sprint("t", i) })
				f.store.mu.Lock()
				entries := lo.Values(f.store.targets)
				f.store.mu.Unlock()
				for _, id := range ids {
					f.store.remove(id)
				}
				renew := time.Now().Add(lo.Ternary(o.partitioned, 1500*time.Millisecond, 2*time.Second))
				for range 60 {
					if len(entries) > 0 && !time.Now().Before(renew) {
						for _, e := range entries {
							f.store.put(inventory.Target{ID: e.ID, Service: e.Service, Slots: e.Slots})
						}
						entries = nil
					}
					time.Sleep(100 * time.Millisecond)
					for i, syncer := range f.syncers {
						require.Equal(t, len(ids), syncer.State().Inventory.Len(), "daemon %d, %v after the renewal", i, time.Since(renew))
					}
				}
			})
		})
	}
}

// Guards against a daemon that takes its first read for the first one after an outage, and retains the targets that were
// removed, although its peers have told it since that the store had returned.
func TestOutageThatIsLongOverRetainsNoTargets(t *testing.T) {
	for _, peersGone := range []time.Duration{time.Second, 5 * time.Second, 20 * time.Second} {
		t.Run(fmt.Sprint(peersGone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const bound = 5 * time.Second
				f := startFleet(newStore())
				defer f.close()
				f.setBound(bound)
				f.store.setDown("7", true)
				f.setNoPushes(7)
				time.Sleep(6 * time.Second)
				f.setNoPushes()
				time.Sleep(3 * time.Second)
				f.store.setDown("7", false)
				time.Sleep(peersGone)
				f.setPartitioned(7, true)
				f.store.remove("t2")
				f.within(t, bound, []int{7}, func(s platformstate.State) bool { return !hasTarget("t2")(s) })
			})
		})
	}
}

// Guards against a daemon that starts, or wakes after a suspension, while expired entries are not back yet, and drops the targets
// that its peers retain.
func TestTargetsThatPeersRetainAreRetained(t *testing.T) {
	for name, c := range map[string]struct{ before, after func(f *fleet) }{
		"restarted": {func(*fleet) {}, func(f *fleet) { f.restart(7) }},
		"suspended": {func(f *fleet) { f.syncers[7].Invalidate() }, func(*fleet) {}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStore()
				s.era = 0 // as of a store that does not state its era
				f := startFleet(s)
				defer f.close()
				// Daemon 7 has nothing but what its peers tell.
				s.setDown("7", true)
				s.setDown("", true)
				time.Sleep(6 * time.Second)
				for i := range 40 {
					s.remove(fmt.Sprint("t", i))
				}
				c.before(f)
				s.setDown("", false)
				time.Sleep(time.Second)
				c.after(f)
				for range 10 {
					time.Sleep(100 * time.Millisecond)
					require.Equal(t, 40, f.at(7).State().Inventory.Len())
				}
			})
		})
	}
}
