package permitclient_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/issuertable"
	"github.com/knapweedpoint/knapweedpoint/internal/permit"
	"github.com/knapweedpoint/knapweedpoint/internal/permitclient"
	"github.com/knapweedpoint/knapweedpoint/internal/permitissuer"
	"github.com/knapweedpoint/knapweedpoint/internal/targetlimit"
)

const (
	// window is the span of the users' bound: in it, a target may get one and a half times its limit and five requests.
	window = 4 * time.Second
	// detection is the time after which the daemons know that others have stopped or are cut off.
	detection = 2500 * time.Millisecond
	hop       = 2 * time.Millisecond
)

var target = inventory.Target{ID: "t", Service: "s", AvailabilityZone: "a"}

// member is one daemon of a simulated fleet.
type member struct {
	name, zone string
	limits     targetlimit.Register
	table      blackboard.Cell[issuertable.Table]
	issuer     permitissuer.Issuer
	client     permitclient.Client
	frozen     atomic.Bool
	// side is the part of a partitioned fleet that the member is in.
	side atomic.Int64
}

// fleet simulates daemons that exchange permits in virtual time.
type fleet struct {
	members []*member
	random  *rand.Rand

	mu     sync.Mutex
	grants []time.Time
}

func newFleet(daemons int, seed uint64) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 1))}
	for i := range daemons {
		m := &member{name: fmt.Sprint("vm", i), zone: []string{"a", "b", "c"}[i%3]}
		m.issuer.Table = &m.table
		m.client = permitclient.Client{
			Name: m.name, Limits: &m.limits, Table: &m.table, Issuer: &m.issuer,
			Send: func(name string, r *gossippb.PermitRequest) { f.request(m, name, r) },
		}
		f.members = append(f.members, m)
	}
	f.updateTables()
	return f
}

// updateTables gives each member the table of the members that it can reach.
func (f *fleet) updateTables() {
	for _, m := range f.members {
		reachable := lo.Filter(f.members, func(o *member, _ int) bool { return o == m || !o.frozen.Load() && o.side.Load() == m.side.Load() })
		names := lo.Map(reachable, func(o *member, _ int) issuertable.Member {
			return issuertable.Member{Name: o.name, AvailabilityZone: o.zone}
		})
		m.table.Set(issuertable.New(m.name, names, float64(len(reachable))/float64(len(f.members))))
	}
}

func (f *fleet) request(from *member, name string, r *gossippb.PermitRequest) {
	to := f.find(name)
	time.AfterFunc(hop, func() {
		if to.frozen.Load() || to.side.Load() != from.side.Load() {
			return
		}
		reply := &gossippb.PermitReply{Id: r.GetId()}
		switch x := to.issuer.Issue(permit.ForTarget(target.ID, target.AvailabilityZone, to.limits.Limit(target)), permit.Grant{}, time.Now()).(type) {
		case permit.Granted:
			reply.Granted = true
		case permit.Denied:
			reply.RetryMillis = uint32(x.RetryAfter.Milliseconds())
		}
		time.AfterFunc(hop, func() { from.client.HandleReply(to.name, reply) })
	})
}

// setLimit makes the limit known to all members, as an announcement does.
func (f *fleet) setLimit(perSecond float64) {
	for _, m := range f.members {
		m.limits.Merge(targetlimit.Statement{Target: target.ID, PerSecond: perSecond, ObservedAt: time.Now()})
	}
}

// first returns the first issuer of the target.
func (f *fleet) first() *member {
	alive, _ := lo.Find(f.members, func(m *member) bool { return !m.frozen.Load() })
	return f.find(alive.table.Get().Issuers(target.ID, target.AvailabilityZone)[0])
}

func (f *fleet) find(name string) *member {
	m, _ := lo.Find(f.members, func(m *member) bool { return m.name == name })
	return m
}

// load makes requests at a rate at random members, half of them at the given share of the fleet.
func (f *fleet) load(perSecond, share float64, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
		n := len(f.members)
		if f.random.IntN(2) == 0 {
			n = max(int(share*float64(n)), 1)
		}
		m := f.members[f.random.IntN(n)]
		now := time.Now()
		if m.frozen.Load() || m.client.Denied(target, now) > 0 {
			continue
		}
		m.client.Acquire(target, permitclient.HastyTimeout, now, func(d permit.Decision) {
			if _, granted := d.(permit.Granted); granted {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.grants = append(f.grants, time.Now())
			}
		})
	}
}

// between returns the number of grants from one time on until another.
func (f *fleet) between(from, to time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lo.CountBy(f.grants, func(at time.Time) bool { return !at.Before(from) && at.Before(to) })
}

// requireBound checks each window that begins with a grant after the given time.
func (f *fleet) requireBound(t *testing.T, after time.Time, limit float64) {
	t.Helper()
	f.mu.Lock()
	grants := slices.Clone(f.grants)
	f.mu.Unlock()
	for _, at := range grants {
		if !at.Before(after) {
			require.LessOrEqual(t, float64(f.between(at, at.Add(window))), 1.5*limit*window.Seconds()+5)
		}
	}
}

// Guards against limits that each daemon divides or applies alone: the target then gets a multiple of its limit, or
// hardly anything where an even share is a fraction of one.
func TestFleetUsesALimitAndNoMore(t *testing.T) {
	for _, c := range []struct {
		name          string
		limit, demand float64
		// during happens after 8 s; used is the least share of the limit that is used in the 8 s after that.
		during func(f *fleet)
		used   float64
	}{
		{"steady", 25, 90, func(*fleet) {}, 0.9},
		{"low limit", 1.25, 5, func(*fleet) {}, 0.8},
		{"demand below the limit", 25, 10, func(*fleet) {}, 0.35},
		{"first issuer freezes", 25, 90, func(f *fleet) { f.first().frozen.Store(true) }, 0.6},
		{"a third of the fleet freezes", 25, 90, func(f *fleet) {
			for i, m := range f.members {
				m.frozen.Store(i%3 == 1)
			}
		}, 0.7},
		{"partition into two halves", 25, 90, func(f *fleet) {
			for i, m := range f.members {
				m.side.Store(int64(i % 2))
			}
		}, 0.6},
		{"partition into halves, low limit", 2, 30, func(f *fleet) {
			for i, m := range f.members {
				m.side.Store(int64(i % 2))
			}
		}, 0.6},
		{"partition into seven parts", 25, 90, func(f *fleet) {
			for i, m := range f.members {
				m.side.Store(int64(i % 7))
			}
		}, 0.6},
	} {
		for _, daemons := range []int{13, 139, 295} {
			t.Run(fmt.Sprint(c.name, ", ", daemons, " daemons"), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(daemons, 7)
					f.setLimit(c.limit)
					start := time.Now()
					f.load(c.demand, 0.2, 8*time.Second)
					changed := time.Now()
					c.during(f)
					time.AfterFunc(detection, f.updateTables)
					f.load(c.demand, 0.7, 8*time.Second)
					f.requireBound(t, start, c.limit)
					used := float64(f.between(changed, time.Now())) / time.Since(changed).Seconds()
					require.GreaterOrEqual(t, used, c.used*c.limit)
					time.Sleep(time.Second)
				})
			})
		}
	}
}

// Guards against a target that gets a quarter of its limit while a daemon that issues its permits is frozen and the
// others, which learn of it only after many seconds in a large fleet, still take that daemon for a live one.
func TestLimitIsUsedWhileAnIssuerIsFrozen(t *testing.T) {
	for _, daemons := range []int{13, 139, 295} {
		for _, limit := range []float64{2, 25} {
			t.Run(fmt.Sprint(daemons, " daemons, limit ", limit), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(daemons, 11)
					f.setLimit(limit)
					start := time.Now()
					f.load(8*limit, 0.5, 8*time.Second)
					f.first().frozen.Store(true)
					frozen := time.Now()
					f.load(8*limit, 0.5, 8*time.Second)
					f.requireBound(t, start, limit)
					// The other main issuer has half of the limit and the fallback a quarter; a tenth of that is for
					// requests that wait in vain.
					require.Greater(t, float64(f.between(frozen, time.Now())), 0.9*0.75*limit*8)
					time.Sleep(time.Second)
				})
			})
		}
	}
}

func TestFleetFollowsALimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(139, 3)
		for _, limit := range []float64{25, 5, 40, 0, 10} {
			f.setLimit(limit)
			changed := time.Now()
			f.load(90, 0.3, 10*time.Second)
			got := float64(f.between(changed.Add(window), time.Now())) / (time.Since(changed) - window).Seconds()
			if limit == 0 {
				require.Greater(t, got, 80.0, "without a limit, nothing is held back")
				continue
			}
			f.requireBound(t, changed.Add(window), limit)
			require.InDelta(t, limit, got, 0.15*limit)
		}
		time.Sleep(time.Second)
	})
}

// A daemon that joins outranks the issuer, and one half of the fleet learns of it two seconds later.
func TestHandoverOfAnIssuerKeepsTheBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 25
		f := newFleet(30, 5)
		joins := f.first()
		joins.frozen.Store(true)
		f.updateTables()
		f.setLimit(limit)
		f.load(90, 0.5, 8*time.Second)
		joins.frozen.Store(false)
		joins.issuer.SetStart(time.Now(), time.Now().Add(detection/2))
		whole := newFleet(30, 5)
		for i, m := range f.members {
			update := func() { m.table.Set(whole.members[i].table.Get()) }
			time.AfterFunc(time.Duration(i%2)*2*time.Second, update)
		}
		changed := time.Now()
		f.load(90, 0.5, 8*time.Second)
		f.requireBound(t, changed.Add(-window), limit)
		require.Greater(t, float64(f.between(changed, time.Now())), 0.8*limit*8)
		time.Sleep(time.Second)
	})
}

// A daemon that knows no issuer, or whose issuers do not reply, denies and does not wait for longer than the timeout.
func TestAcquireWithoutIssuer(t *testing.T) {
	for _, c := range []struct {
		name  string
		setUp func(f *fleet)
		wait  time.Duration
	}{
		{"no members are known", func(f *fleet) { f.members[0].table.Set(issuertable.New("vm0", nil, 1)) }, 0},
		{"the issuers do not reply", func(f *fleet) {
			for _, name := range f.members[1].table.Get().Issuers(target.ID, target.AvailabilityZone) {
				f.find(name).frozen.Store(true)
			}
		}, permitclient.HastyTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(13, 1)
				f.setLimit(25)
				asker := f.members[1]
				if c.wait == 0 {
					asker = f.members[0]
				}
				c.setUp(f)
				began := time.Now()
				var took time.Duration
				var got permit.Decision
				asker.client.Acquire(target, permitclient.HastyTimeout, began, func(d permit.Decision) { got, took = d, time.Since(began) })
				time.Sleep(time.Second)
				synctest.Wait()
				require.IsType(t, permit.Denied{}, got)
				require.Equal(t, c.wait, took)
			})
		})
	}
}
