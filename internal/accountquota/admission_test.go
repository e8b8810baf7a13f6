package accountquota_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/knapweedpoint/knapweedpoint/internal/account"
)

const daemons = 144

var typical = account.Quota{PerSecond: 9, Burst: 9}

// Guards against a quota that is exceeded, or refuses accounts within it, when an account or the fleet does something unusual.
func TestQuotasOfAFleet(t *testing.T) {
	for _, c := range []struct {
		name string
		// hot is the rate of the hot account from the 10th second on; the quiet one always sends 5.6 a second.
		hot float64
		// reached is the number of daemons that the callers reach.
		reached int
		// during happens after 14 s, in the hot phase.
		during func(f *fleet)
		// hotShare and quietShare are the least shares of the quota and of the quiet account's requests that are served in the
		// 8 s that follow. With a quietShare of 0.98, a request of the quiet account is refused only if it is over the quota.
		hotShare, quietShare float64
	}{
		{"nothing happens", 45, 46, func(*fleet) {}, 0.95, 0.98},
		{"less hot", 24, 46, func(*fleet) {}, 0.95, 0.98},
		{"an issuer of each account dies", 45, 46, func(f *fleet) {
			for _, name := range []string{"hot", "quiet"} {
				first := f.members[0].table.Get().Issuers("account\x00"+name, "")[0]
				f.change(func(m *member) { m.dead = m.dead || m.name == first })
			}
		}, 0.8, 0.95},
		{"half of the fleet dies", 45, 46, func(f *fleet) { f.change(func(m *member) { m.dead = m.index%2 == 1 }) }, 0.55, 0.9},
		{"half of the fleet is unreachable", 45, 46, func(f *fleet) { f.change(func(m *member) { m.side = m.index % 2 }) }, 0.8, 0.9},
		{"the fleet restarts", 45, 46, func(f *fleet) { f.restart() }, 0.6, 0.9},
		{"the fleet restarts, less hot", 24, 46, func(f *fleet) { f.restart() }, 0.6, 0.9},
		{"all callers move to another zone", 45, 46, func(f *fleet) { f.zone.Store(2) }, 0.95, 0.98},
		{"the quota is halved", 45, 46, func(f *fleet) {
			f.mu.Lock()
			f.quotas["hot"] = account.Quota{PerSecond: 4.5, Burst: 4.5}
			f.mu.Unlock()
		}, 0.45, 0.98},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(daemons, 1, map[string]account.Quota{"hot": typical, "quiet": typical})
				start := time.Now()
				var group errgroup.Group
				group.Go(func() error { f.load("quiet", 5.6, 0, c.reached-1, 24*time.Second); return nil })
				group.Go(func() error {
					f.load("hot", 5.6, 0, c.reached-1, 10*time.Second)
					f.load("hot", c.hot, 0, c.reached-1, 14*time.Second)
					return nil
				})
				time.Sleep(14 * time.Second)
				before, atMost := f.refusals("quiet", typical)
				c.during(f)
				changed := time.Now()
				require.NoError(t, group.Wait())
				f.end()
				require.LessOrEqual(t, before, atMost)
				require.LessOrEqual(t, f.excess("hot", start, typical), 0.0)
				require.LessOrEqual(t, f.excess("hot", changed.Add(rules.Window), f.quotas["hot"]), 0.0)
				share, n := f.served("hot", changed)
				quiet, _ := f.served("quiet", changed)
				t.Logf("excess %.1f, hot %.2f of its quota, quiet %.3f, slowest %s", f.excess("hot", start, typical), share*float64(n)/90, quiet, f.slowest)
				require.GreaterOrEqual(t, share*float64(n), c.hotShare*90)
				require.GreaterOrEqual(t, quiet, c.quietShare)
				if c.quietShare == 0.98 {
					refused, atMost := f.refusals("quiet", typical)
					require.LessOrEqual(t, refused, atMost)
				}
				require.LessOrEqual(t, f.slowest, 35*time.Millisecond)
			})
		})
	}
}

// Guards against a bound that holds only while datagrams arrive in order, processes last and clocks agree, and against quota
// that is lost with datagrams or requests that were refused later.
func TestBoundHoldsWhateverHappens(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		q := account.Quota{PerSecond: rapid.Float64Range(0.5, 15).Draw(r, "perSecond")}
		q.Burst = q.PerSecond * rapid.Float64Range(0, 2).Draw(r, "burst")
		daemons := rapid.IntRange(3, 46).Draw(r, "daemons")
		demand := q.PerSecond * rapid.Float64Range(0.3, 5).Draw(r, "demand")
		loss := rapid.Float64Range(0, 0.1).Draw(r, "loss")
		jitter := time.Duration(rapid.IntRange(0, 10).Draw(r, "jitter")) * time.Millisecond
		clocks := rapid.Float64Range(0, 0.02).Draw(r, "clocks")
		event := rapid.SampledFrom([]string{"none", "restart", "restarts", "partition"}).Draw(r, "event")
		at := time.Duration(rapid.IntRange(100, 6000).Draw(r, "at")) * time.Millisecond
		parts := rapid.IntRange(2, 4).Draw(r, "parts")
		synctest.Test(t, func(*testing.T) {
			f := newFleet(daemons, 1, map[string]account.Quota{"a": q})
			f.setNetwork(loss, jitter)
			lo.ForEach(f.members, func(m *member, i int) { m.rate = 1 + clocks*float64(i%3-1) })
			start := time.Now()
			time.AfterFunc(at, func() {
				switch event {
				case "restart":
					f.restart()
				case "restarts":
					f.mu.Lock()
					lo.Times(daemons/parts, func(i int) int { f.start(i, time.Now(), 0); return 0 })
					f.mu.Unlock()
				case "partition":
					f.change(func(m *member) { m.side = m.index % parts })
					time.AfterFunc(at, func() { f.change(func(m *member) { m.side = 0 }) })
				}
			})
			for time.Since(start) < 20*time.Second {
				time.Sleep(time.Duration(f.random.ExpFloat64() / demand * float64(time.Second)))
				f.send("a", f.random.IntN(daemons), 5)
			}
			f.setNetwork(0, 0)
			time.Sleep(2 * time.Second)
			idle, again := time.Now(), int(min(2*q.PerSecond*0.95, q.Burst))
			lo.Times(again, func(int) int { f.send("a", f.random.IntN(daemons), 0); return 0 })
			f.end()
			if excess := f.excess("a", start, q); excess > 0 {
				r.Errorf("the bound is exceeded by %g", excess)
			}
			if share, n := f.served("a", idle); share*float64(n) < float64(again)-1 {
				r.Errorf("after 2 s without requests, %g of %d were admitted", share*float64(n), again)
			}
		})
	})
}
