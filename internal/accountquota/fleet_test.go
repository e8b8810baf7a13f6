package accountquota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/account"
	"github.com/knapweedpoint/knapweedpoint/internal/accountquota"
	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/issuertable"
	"github.com/knapweedpoint/knapweedpoint/internal/permit"
	"github.com/knapweedpoint/knapweedpoint/internal/permitclient"
	"github.com/knapweedpoint/knapweedpoint/internal/permitissuer"
)

// detection is how long a daemon takes a dead or unreachable one for live, and how long a started one needs to know all.
const detection = 2500 * time.Millisecond

var rules = permit.Rules{Window: 5 * time.Second, Overshoot: 0.25, Slack: 20}

// member is one process of a daemon of a simulated fleet.
type member struct {
	name, zone    string
	index, side   int
	dead          bool
	startedAt     time.Time
	changedAt     time.Time
	rate          float64
	table         blackboard.Cell[issuertable.Table]
	issuer        permitissuer.Issuer
	client        permitclient.Client
	quota         accountquota.Admission
	reachedBefore map[string]int
}

// fleet simulates daemons that check the requests of accounts, in virtual time.
type fleet struct {
	loss    float64
	jitter  time.Duration
	mu      sync.Mutex
	random  *rand.Rand
	members []*member
	quotas  map[string]account.Quota
	runs    map[string][]time.Time
	refused map[string][]time.Time
	slowest time.Duration
	ended   bool
	// zone is one more than the zone whose daemons the callers reach; 0 for all.
	zone atomic.Int64
}

// source is a source of random numbers for several goroutines.
type source struct {
	mu sync.Mutex
	*rand.PCG
}

func (s *source) Uint64() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.PCG.Uint64()
}

func newFleet(daemons int, seed uint64, quotas map[string]account.Quota) *fleet {
	f := &fleet{random: rand.New(&source{PCG: rand.NewPCG(seed, 1)}), quotas: quotas, runs: map[string][]time.Time{}, refused: map[string][]time.Time{}}
	for i := range daemons {
		f.members = append(f.members, nil)
		f.start(i, time.Now().Add(-time.Hour), 0)
	}
	var round func()
	round = func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		lo.ForEach(f.members, func(m *member, _ int) { f.updateTable(m) })
		if !f.ended {
			time.AfterFunc(250*time.Millisecond, round)
		}
	}
	round()
	return f
}

// start replaces a member by a new process.
func (f *fleet) start(i int, at time.Time, side int) {
	m := &member{name: fmt.Sprint("vm", i), zone: []string{"a", "b", "c"}[i%3], index: i, side: side, startedAt: at, changedAt: at, rate: 1}
	if old := f.members[i]; old != nil {
		m.rate = old.rate
	}
	m.issuer.Table = &m.table
	m.client = permitclient.Client{
		Name: m.name, Table: &m.table, Issuer: &m.issuer, Send: func(name string, r *gossippb.PermitRequest) { f.deliver(m, name, r) },
	}
	m.quota = accountquota.Admission{
		Name: m.name, Permits: &m.client, Rules: func() permit.Rules { return rules }, Known: func() int { return len(f.members) },
	}
	m.issuer.SetStart(at.Add(detection), at.Add(2*detection+detection/2))
	m.quota.SetStart(at.Add(detection))
	f.members[i] = m
}

// change sets whether members are dead, or the side of a partition that they are on, and notes when it did.
func (f *fleet) change(do func(m *member)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		dead, side := m.dead, m.side
		if do(m); dead != m.dead || side != m.side {
			m.changedAt = time.Now()
		}
	}
}

// restart ends all members and starts them again within a second, from a second later on.
func (f *fleet) restart() {
	f.change(func(m *member) { m.dead = true })
	for i, m := range f.members {
		time.AfterFunc(time.Second+time.Duration(i)*time.Second/time.Duration(len(f.members)), func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.start(i, time.Now(), m.side)
		})
	}
}

// updateTable gives a member the issuers among the members that it knows. A process learns of another within a second.
func (f *fleet) updateTable(m *member) {
	now := time.Now()
	known := lo.Filter(f.members, func(o *member, _ int) bool {
		delay := time.Duration((m.index*31+o.index*17)%100) * 10 * time.Millisecond
		changed := lo.Ternary(o.changedAt.After(m.changedAt), o.changedAt, m.changedAt)
		cut := o.dead || o.side != m.side
		return o == m || cut && m.startedAt.Before(o.changedAt) && now.Sub(changed) < detection || !cut && now.Sub(changed) >= delay
	})
	settled := lo.Filter(known, func(o *member, _ int) bool { return now.Sub(o.startedAt) > 2*detection+300*time.Millisecond })
	members := lo.Map(lo.Ternary(len(settled) > 0, settled, known), func(o *member, _ int) issuertable.Member {
		return issuertable.Member{Name: o.name, AvailabilityZone: o.zone}
	})
	recent := lo.CountBy(f.members, func(o *member) bool { return slices.Contains(known, o) || m.startedAt.Before(o.changedAt) })
	if reachable := float64(len(known)) / float64(recent); !m.table.Get().Same(members, reachable) {
		m.table.Set(issuertable.New(m.name, members, reachable))
	}
}

func (f *fleet) account(name string, scale float64) account.Account {
	q := f.quotas[name]
	return account.Account{Name: name, Quota: account.Quota{PerSecond: q.PerSecond * scale, Burst: q.Burst}}
}

// hop runs do after the way between two members, unless the datagram is lost.
func (f *fleet) hop(from, to *member, do func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random.Float64() < f.loss {
		return
	}
	way := lo.Ternary(from.zone == to.zone, 200*time.Microsecond, 500*time.Microsecond) + time.Duration(f.random.Float64()*float64(f.jitter))
	time.AfterFunc(way, func() {
		f.mu.Lock()
		lost := from.dead || to.dead || f.members[to.index] != to || from.side != to.side
		f.mu.Unlock()
		if !lost {
			do()
		}
	})
}

func (f *fleet) deliver(from *member, name string, r *gossippb.PermitRequest) {
	f.mu.Lock()
	to, _ := lo.Find(f.members, func(m *member) bool { return m.name == name })
	// A clock that runs faster issues faster.
	resource := permit.ForAccount(f.account(r.GetAccount(), to.rate), rules)
	f.mu.Unlock()
	f.hop(from, to, func() {
		g := permit.Grant{Issuer: to.name, Requester: from.name, ID: r.GetId()}
		if r.GetReturned() {
			to.issuer.Return(resource, g, time.Now())
			return
		}
		reply := &gossippb.PermitReply{Id: r.GetId()}
		switch x := to.issuer.Issue(resource, g, time.Now()).(type) {
		case permit.Granted:
			reply.Granted = true
		case permit.Denied:
			reply.RetryMillis = uint32(x.RetryAfter.Milliseconds()) + 1
		}
		f.hop(to, from, func() { from.client.HandleReply(to.name, reply) })
	})
}

// send checks one request at a member. One in so many is refused later and returns its quota; 0 for none.
func (f *fleet) send(name string, at, returns int) {
	if zone := int(f.zone.Load()); zone > 0 {
		at = 3*at + zone - 1
	}
	f.mu.Lock()
	m, a, began := f.members[at%len(f.members)], f.account(name, 1), time.Now()
	returned, dead := returns > 0 && f.random.IntN(returns) == 0, m.dead
	f.mu.Unlock()
	if dead {
		return
	}
	time.AfterFunc(0, func() {
		d := m.quota.Admit(a, 1)
		f.mu.Lock()
		f.slowest = max(f.slowest, time.Since(began))
		switch d.(type) {
		case accountquota.Admitted:
			if !returned {
				f.runs[name] = append(f.runs[name], time.Now())
			}
		case accountquota.OverQuota:
			f.refused[name] = append(f.refused[name], time.Now())
		}
		f.mu.Unlock()
		if x, ok := d.(accountquota.Admitted); ok && returned {
			x.GiveBack()
		}
	})
}

// load sends the requests of an account at random members of which from and to are the first and last.
func (f *fleet) load(name string, perSecond float64, from, to int, d time.Duration) {
	r := rand.New(rand.NewPCG(f.random.Uint64(), 2))
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(time.Duration(r.ExpFloat64() / perSecond * float64(time.Second)))
		f.send(name, from+r.IntN(to-from+1), 0)
	}
}

// served returns the share of the account's requests from a time on that were admitted, and their number.
func (f *fleet) served(name string, from time.Time) (share float64, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	after := func(at time.Time) bool { return !at.Before(from) }
	runs := lo.CountBy(f.runs[name], after)
	n = runs + lo.CountBy(f.refused[name], after)
	return float64(runs) / float64(max(1, n)), n
}

// refusals returns how many requests of an account were refused, and how many of them a single bucket with the quota would
// have refused at most: random requests at a rate within the quota exceed the burst now and then.
func (f *fleet) refusals(name string, q account.Quota) (refused, atMost int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := slices.SortedFunc(slices.Values(slices.Concat(f.runs[name], f.refused[name])), time.Time.Compare)
	permits := q.Burst
	for i, at := range all {
		if i > 0 {
			permits = min(q.Burst, permits+q.PerSecond*at.Sub(all[i-1]).Seconds())
		}
		if permits < 1 {
			atMost++
			continue
		}
		permits--
	}
	return len(f.refused[name]), atMost
}

// excess returns by how much the worst window from a time on exceeds the bound of the account; it is at most 0 if the bound
// holds.
func (f *fleet) excess(name string, from time.Time, q account.Quota) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	worst := -1e9
	bound := (q.PerSecond*rules.Window.Seconds()+q.Burst)*(1+rules.Overshoot) + rules.Slack
	for _, at := range f.runs[name] {
		n := lo.CountBy(f.runs[name], func(o time.Time) bool { return !o.Before(at) && o.Sub(at) < rules.Window })
		if !at.Before(from) {
			worst = max(worst, float64(n)-bound)
		}
	}
	return worst
}

// setNetwork sets the share of datagrams that are lost, and the longest random delay of the others.
func (f *fleet) setNetwork(loss float64, jitter time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loss, f.jitter = loss, jitter
}

// end stops the updates of the members.
func (f *fleet) end() {
	f.mu.Lock()
	f.ended = true
	f.mu.Unlock()
	time.Sleep(3 * time.Second)
}
