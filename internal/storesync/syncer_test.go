package storesync_test

import (
	"bytes"
	"cmp"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedpoint/knapweedpoint/internal/account"
	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/operatorstate"
	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
	"github.com/knapweedpoint/knapweedpoint/internal/roster"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
	"github.com/knapweedpoint/knapweedpoint/internal/storesync"
)

const (
	drainBound  = 3 * time.Second
	callLatency = 4 * time.Millisecond
	peerLatency = 2 * time.Millisecond
	heartbeat   = 1200 * time.Millisecond
	daemonCount = 13
)

var (
	errDown        = errors.New("store is down")
	errUndecodable = errors.New("configuration cannot be decoded")
)

// store is a fake platform store that counts its calls.
type store struct {
	mu       sync.Mutex
	era      uint64
	revision uint64
	targets  map[string]inventory.Target
	version  uint64
	zonesOut []string
	changes  []inventory.Change
	// oldest is the revision up to which the history is compacted.
	oldest uint64
	// down holds the daemons that get no response; "" stands for all of them.
	down map[string]bool
	// fault is called in each call and returns the error of those that fail. It is nil if none does.
	fault func(ctx context.Context) error
	calls int
	// fullReads counts the reads of the whole state, which take several calls in a large fleet.
	fullReads int
	// undecodableFor are the daemons that cannot decode any further configuration.
	undecodableFor map[string]bool
	// configurationReads counts the reads of the configuration alone.
	configurationReads int
	// maxChanges is the maximum number of changes in one response; 0 means no limit.
	maxChanges int
	// operatorRevision is the revision of the last change of the operator state.
	operatorRevision uint64
}

func newStore() *store {
	s := &store{targets: map[string]inventory.Target{}, down: map[string]bool{}, era: 1, revision: 10, version: 1}
	for i := range 40 {
		s.put(inventory.Target{ID: fmt.Sprint("t", i), Service: fmt.Sprint("s", i/2), Slots: 2})
	}
	return s
}

func (s *store) put(t inventory.Target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(t)
}

// write puts an entry. The caller holds mu.
func (s *store) write(t inventory.Target) {
	s.revision++
	t.Revision = s.revision
	s.targets[t.ID] = t
	s.changes = append(s.changes, inventory.Put{Target: t})
}

func (s *store) remove(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.targets, id)
	s.changes = append(s.changes, inventory.Delete{ID: id, Revision: s.revision})
}

// changeOperatorState changes the operator state and raises the revision.
func (s *store) changeOperatorState(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.operatorRevision = s.revision
	f()
}

func (s *store) setDown(daemon string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down[daemon] = down
}

func (s *store) setFault(fault func(ctx context.Context) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

func (s *store) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *store) fullReadCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fullReads
}

func (s *store) setUndecodableFor(daemon string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.undecodableFor = map[string]bool{daemon: true}
}

func (s *store) configurationReadCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configurationReads
}

// renewEntries renews every entry once per heartbeat until ctx ends.
func (s *store) renewEntries(ctx context.Context) {
	for ctx.Err() == nil {
		s.mu.Lock()
		ids := lo.Keys(s.targets)
		s.mu.Unlock()
		for _, id := range ids {
			s.renew(id)
		}
		time.Sleep(heartbeat)
	}
}

// renew writes an entry as it is, unless it was removed.
func (s *store) renew(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, live := s.targets[id]; live {
		s.write(t)
	}
}

// storeClient is one daemon's connection to the store.
type storeClient struct {
	store  *store
	daemon string
}

func (c storeClient) call(ctx context.Context) error {
	c.store.mu.Lock()
	c.store.calls++
	down, fault := c.store.down[""] || c.store.down[c.daemon], c.store.fault
	c.store.mu.Unlock()
	if fault != nil {
		return fault(ctx)
	}
	if down {
		<-ctx.Done()
		return errDown
	}
	time.Sleep(callLatency)
	return nil
}

func (c storeClient) operatorState() operatorstate.State {
	table := newTable(c.store.version)
	return operatorstate.State{Table: table, Document: []byte(fmt.Sprint(c.store.version)), ZonesOut: c.store.zonesOut}
}

func (c storeClient) Read(ctx context.Context) (storesync.FullState, error) {
	if err := c.call(ctx); err != nil {
		return storesync.FullState{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.fullReads++
	return storesync.FullState{Era: c.store.era, Revision: c.store.revision, Targets: lo.Values(c.store.targets), OperatorState: c.operatorState()}, nil
}

func (c storeClient) Changes(ctx context.Context, after uint64) (storesync.Delta, error) {
	if err := c.call(ctx); err != nil {
		return storesync.Delta{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	if after < c.store.oldest || after > c.store.revision {
		return storesync.Delta{}, storesync.ErrCompacted.New("forgotten")
	}
	d := storesync.Delta{Era: c.store.era, Revision: c.store.revision}
	d.Targets = lo.Filter(c.store.changes, func(change inventory.Change, _ int) bool { return change.ChangeRevision() > after })
	if c.store.maxChanges > 0 && len(d.Targets) > c.store.maxChanges {
		d.Targets, d.More = d.Targets[:c.store.maxChanges], true
		d.Revision = d.Targets[c.store.maxChanges-1].ChangeRevision()
	}
	if c.store.operatorRevision <= after || c.store.operatorRevision > d.Revision {
		return d, nil
	}
	state := c.operatorState()
	if !c.store.undecodableFor[c.daemon] {
		d.OperatorState = append(d.OperatorState, operatorstate.Configuration{Table: state.Table, Document: state.Document})
	}
	for _, z := range []string{"a", "b"} {
		if lo.Contains(state.ZonesOut, z) {
			d.OperatorState = append(d.OperatorState, operatorstate.ZoneOut{Name: z})
		} else {
			d.OperatorState = append(d.OperatorState, operatorstate.ZoneRestored{Name: z})
		}
	}
	return d, nil
}

func (c storeClient) LatestConfiguration(ctx context.Context) (storesync.LatestConfiguration, error) {
	if err := c.call(ctx); err != nil {
		return storesync.LatestConfiguration{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	c.store.configurationReads++
	state := c.operatorState()
	if c.store.undecodableFor[c.daemon] {
		state = operatorstate.State{}
	}
	return storesync.LatestConfiguration{
		Era: c.store.era, Revision: c.store.revision,
		Configuration: operatorstate.Configuration{Table: state.Table, Document: state.Document},
	}, nil
}

func (c storeClient) Configuration(document []byte) (*routetable.Table, error) {
	c.store.mu.Lock()
	undecodable := c.store.undecodableFor[c.daemon]
	c.store.mu.Unlock()
	if undecodable {
		return nil, errUndecodable
	}
	var v uint64
	_, err := fmt.Sscan(string(document), &v)
	return newTable(v), err
}

// newTable returns the configuration of a version. Its only key is keyOf(version): each version revokes that of the version before.
func newTable(version uint64) *routetable.Table {
	accounts := account.NewTable([]account.Keyed{{Account: account.Account{Name: "anna"}, Keys: []string{keyOf(version)}}})
	return routetable.New(version, nil, nil, routetable.Limits{}).WithAccounts(accounts)
}

func keyOf(version uint64) string { return fmt.Sprint("key", version) }

// fleet is a set of daemons with one store. Two peers exchange messages unless one of them is partitioned.
type fleet struct {
	store       *store
	syncers     []*storesync.Syncer
	mu          sync.Mutex
	partitioned map[int]bool
	// noPushes are the daemons that receive no pushes but still serve copies.
	noPushes map[int]bool
	// hangingCopies are the daemons that receive and send pushes, and whose copies cannot be fetched: fetches hang until their
	// timeout.
	hangingCopies map[int]bool
	// earlier are the daemons of an earlier version, whose pushes and copies do not say whether the configuration is complete.
	earlier map[int]bool
	// otherBound replaces drainBound unless it is zero.
	otherBound time.Duration
	group      errgroup.Group
	cancel     []context.CancelFunc
	end        context.CancelFunc
	ctx        context.Context
}

// link connects one daemon with its peers.
type link struct {
	fleet *fleet
	self  int
}

func (f *fleet) at(i int) *storesync.Syncer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncers[i]
}

func (f *fleet) isPartitioned(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.partitioned[i]
}

func (f *fleet) setPartitioned(i int, partitioned bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.partitioned[i] = partitioned
}

func (f *fleet) dropsPushes(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.noPushes[i]
}

func (f *fleet) isEarlier(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.earlier[i]
}

func (f *fleet) copiesHang(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.hangingCopies[i]
}

func (l link) Push(p *gossippb.Push) {
	if l.fleet.isEarlier(l.self) {
		p.ConfigurationComplete = false
	}
	for i := range l.Members() {
		s := l.fleet.at(i)
		if i == l.self || l.fleet.isPartitioned(i) || l.fleet.isPartitioned(l.self) || l.fleet.dropsPushes(i) {
			continue
		}
		l.fleet.group.Go(func() error {
			time.Sleep(peerLatency)
			s.ReceivePush(roster.Member{Name: fmt.Sprint(l.self)}, p, time.Now())
			return nil
		})
	}
}

func (l link) Members() int { return len(l.fleet.cancel) }

// Seeds are the first three daemons.
func (l link) Seeds() []roster.Member {
	return lo.Without(lo.Times(3, func(i int) roster.Member { return roster.Member{Name: fmt.Sprint(i)} }), roster.Member{Name: fmt.Sprint(l.self)})
}

func (l link) Fetch(ctx context.Context, from roster.Member, have *gossippb.FetchRequest) (*gossippb.PackedCopy, error) {
	var n int
	lo.Must(fmt.Sscan(from.Name, &n))
	if l.fleet.isPartitioned(n) || l.fleet.isPartitioned(l.self) {
		return nil, errDown
	}
	if l.fleet.copiesHang(n) {
		<-ctx.Done()
		return nil, errDown
	}
	time.Sleep(peerLatency)
	packed, err := l.fleet.at(n).Copy(have)
	if err != nil || !l.fleet.isEarlier(n) {
		return packed, err
	}
	return withoutCompleteness(packed)
}

// withoutCompleteness returns a copy as a daemon of an earlier version sends it.
func withoutCompleteness(packed *gossippb.PackedCopy) (*gossippb.PackedCopy, error) {
	c, err := decompress(packed)
	if err != nil {
		return nil, err
	}
	c.ConfigurationComplete = false
	if c.Changes != nil {
		c.Changes.ConfigurationComplete = false
	}
	data, err := proto.Marshal(c)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(data); err != nil {
		return nil, err
	}
	return &gossippb.PackedCopy{Copy: b.Bytes(), AgeMillis: packed.GetAgeMillis()}, w.Close()
}

// Rank is the daemon's index: daemon 0 is the store reader.
func (l link) Rank() int { return l.self }

func startFleet(s *store) *fleet { return startFleetOf(s, daemonCount) }

func startFleetOf(s *store, daemons int) *fleet {
	ctx, end := context.WithCancel(context.Background())
	f := &fleet{store: s, partitioned: map[int]bool{}, noPushes: map[int]bool{}, cancel: make([]context.CancelFunc, daemons), end: end, ctx: ctx}
	for i := range daemons {
		f.syncers = append(f.syncers, f.newSyncer(i, true))
	}
	for i, syncer := range f.syncers {
		f.cancel[i] = f.run(syncer)
	}
	f.group.Go(func() error { s.renewEntries(ctx); return nil })
	time.Sleep(5 * time.Second)
	return f
}

func (f *fleet) newSyncer(i int, firstStart bool) *storesync.Syncer {
	return storesync.New(storesync.Options{
		Source: storeClient{store: f.store, daemon: fmt.Sprint(i)}, Peers: link{fleet: f, self: i},
		Copy:       &blackboard.Cell[platformstate.State]{},
		DrainBound: f.bound, FirstStart: firstStart,
	})
}

// bound returns the drain bound.
func (f *fleet) bound() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return cmp.Or(f.otherBound, drainBound)
}

func (f *fleet) setBound(bound time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.otherBound = bound
}

func (f *fleet) setNoPushes(daemons ...int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noPushes = lo.SliceToMap(daemons, func(i int) (int, bool) { return i, true })
}

func (f *fleet) run(syncer *storesync.Syncer) context.CancelFunc {
	daemonCtx, cancel := context.WithCancel(f.ctx)
	f.group.Go(func() error { syncer.Run(daemonCtx); return nil })
	return cancel
}

// restart replaces a daemon by one with an empty copy.
func (f *fleet) restart(i int) {
	f.cancel[i]()
	f.mu.Lock()
	f.syncers[i] = f.newSyncer(i, false)
	f.mu.Unlock()
	f.cancel[i] = f.run(f.at(i))
}

func (f *fleet) close() {
	f.end()
	_ = f.group.Wait()
}

// within checks that the state of every listed daemon meets a condition within the given time.
func (f *fleet) within(t *testing.T, span time.Duration, daemons []int, holds func(s platformstate.State) bool) {
	t.Helper()
	start := time.Now()
	for _, i := range daemons {
		for !holds(f.syncers[i].State()) {
			require.Less(t, time.Since(start), span, "daemon %d", i)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

func allDaemons(except ...int) []int {
	return lo.Without(lo.Range(daemonCount), except...)
}

func drained(id string) func(platformstate.State) bool {
	return func(s platformstate.State) bool {
		t, ok := s.Inventory.Target(id)
		return !ok || t.Draining
	}
}

// Each case injects a fault, mostly at the store reader, and then publishes a draining target, a removed target, a zone
// taken out and a configuration. All daemons, except those that are unreachable, must have them within the drain bound.
func TestBoundsHoldWhateverHappensToTheReader(t *testing.T) {
	for _, c := range []struct {
		name   string
		inject func(f *fleet)
		except []int
	}{
		{"nothing", func(*fleet) {}, nil},
		{"dies", func(f *fleet) { f.setPartitioned(0, true); f.cancel[0]() }, []int{0}},
		{"cut off from peers", func(f *fleet) { f.setPartitioned(0, true) }, nil},
		{"cut off from the store", func(f *fleet) { f.store.setDown("0", true) }, nil},
		{"cut off from both", func(f *fleet) { f.store.setDown("0", true); f.setPartitioned(0, true) }, []int{0}},
		{"first three cut off from the store", func(f *fleet) {
			for _, d := range []string{"0", "1", "2"} {
				f.store.setDown(d, true)
			}
		}, nil},
		{"all cut off from peers", func(f *fleet) {
			for i := range daemonCount {
				f.setPartitioned(i, true)
			}
		}, nil},
		{"the others cut off from the store for 20 s", func(f *fleet) {
			for i := 1; i < daemonCount; i++ {
				f.store.setDown(fmt.Sprint(i), true)
			}
			f.setPartitioned(0, true)
			time.Sleep(20 * time.Second)
			f.setPartitioned(0, false)
		}, nil},
		{"is restarted", func(f *fleet) { f.restart(0); time.Sleep(100 * time.Millisecond) }, nil},
		{"all restart", func(f *fleet) {
			for i := range daemonCount {
				f.restart(i)
			}
			time.Sleep(100 * time.Millisecond)
		}, nil},
		{"reconnects after being cut off from both", func(f *fleet) {
			f.store.setDown("0", true)
			f.setPartitioned(0, true)
			time.Sleep(8 * time.Second)
			f.store.setDown("0", false)
			f.setPartitioned(0, false)
		}, nil},
		{"history compacted", func(f *fleet) { f.store.mu.Lock(); f.store.oldest = f.store.revision + 1; f.store.mu.Unlock() }, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startFleet(newStore())
				defer f.close()
				c.inject(f)
				f.store.put(inventory.Target{ID: "t0", Service: "s0", Slots: 2, Draining: true})
				f.store.remove("t2")
				f.store.changeOperatorState(func() { f.store.version = 2; f.store.zonesOut = []string{"b"} })
				start := time.Now()
				f.within(t, drainBound, allDaemons(c.except...), drained("t0"))
				f.within(t, drainBound-time.Since(start), allDaemons(c.except...), drained("t2"))
				f.within(t, drainBound-time.Since(start), allDaemons(c.except...), func(s platformstate.State) bool {
					return s.OperatorState.Version() == 2 && lo.Contains(s.OperatorState.ZonesOut, "b")
				})
			})
		})
	}
}

// 700 targets make more changes between two reads than one response of the store holds.
func TestAnswersThatLeaveOutChangesAreReadOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		for i := range 660 {
			s.put(inventory.Target{ID: fmt.Sprint("more", i), Service: "s", Slots: 2})
		}
		s.maxChanges = 200
		f := startFleet(s)
		defer f.close()
		time.Sleep(20 * time.Second)
		s.put(inventory.Target{ID: "t0", Service: "s0", Slots: 2, Draining: true})
		s.changeOperatorState(func() { s.version = 2 })
		f.within(t, drainBound, allDaemons(), func(x platformstate.State) bool { return drained("t0")(x) && x.OperatorState.Version() == 2 })
	})
}

func TestOneDaemonReadsForAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(newStore())
		defer f.close()
		before := f.store.callCount()
		time.Sleep(40 * time.Second)
		perDaemon := float64(f.store.callCount()-before) / 40 / daemonCount
		require.LessOrEqual(t, perDaemon, 0.12, "calls per second and daemon")
	})
}

func TestStaleCopyNeverReplacesANewerOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(newStore())
		defer f.close()
		old := unpacked(t, f.syncers[5], &gossippb.FetchRequest{})
		f.store.put(inventory.Target{ID: "t0", Service: "s0", Slots: 2, Draining: true})
		f.store.changeOperatorState(func() { f.store.version = 9 })
		f.within(t, drainBound, allDaemons(), drained("t0"))
		f.within(t, drainBound, allDaemons(), func(s platformstate.State) bool { return s.OperatorState.Version() == 9 })
		f.syncers[3].ReceivePush(roster.Member{Name: "5"}, &gossippb.Push{From: 1, To: old.GetRevision(), Version: 1, Puts: old.GetTargets()}, time.Now())
		state := f.syncers[3].State()
		require.True(t, drained("t0")(state))
		require.Equal(t, uint64(9), state.OperatorState.Version())
	})
}

// Targets whose entries expired during an outage of the store are retained until they have had time to renew them.
func TestLapsedEntriesAreKeptForTheirReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(newStore())
		defer f.close()
		f.store.setDown("", true)
		time.Sleep(5 * time.Second)
		f.store.remove("t0")
		f.store.remove("t2")
		f.store.setDown("", false)
		has := func(id string) func(platformstate.State) bool {
			return func(s platformstate.State) bool { _, ok := s.Inventory.Target(id); return ok }
		}
		time.Sleep(500 * time.Millisecond)
		f.store.put(inventory.Target{ID: "t2", Service: "s1", Slots: 2})
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			for _, syncer := range f.syncers {
				require.True(t, has("t2")(syncer.State()), "renewed in time, and never missing")
			}
		}
		f.within(t, 6*time.Second, allDaemons(), func(s platformstate.State) bool { return !has("t0")(s) })
		f.within(t, time.Millisecond, allDaemons(), has("t2"))
	})
}

func TestDaemonServesOnWithWhatItHasWhileTheStoreIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(newStore())
		defer f.close()
		f.store.setDown("", true)
		calls := f.store.callCount()
		time.Sleep(time.Minute)
		for _, syncer := range f.syncers {
			require.True(t, syncer.State().Configured())
			require.Equal(t, 40, syncer.State().Inventory.Len())
		}
		perDaemon := float64(f.store.callCount()-calls) / 60 / daemonCount
		require.Less(t, perDaemon, 1.0, "calls per second and daemon during the outage")
	})
}

// All daemons restart during an outage of the store and cannot serve requests until it has recovered.
func TestRestartedFleetIsBackSoonAfterTheStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newStore()
		s.setDown("", true)
		f := startFleet(s)
		defer f.close()
		require.False(t, f.syncers[0].State().Configured())
		s.setDown("", false)
		f.within(t, 1100*time.Millisecond, allDaemons(), func(s platformstate.State) bool { return s.Configured() })
		s.put(inventory.Target{ID: "late", Service: "s0", Slots: 2})
		f.within(t, 500*time.Millisecond, allDaemons(), func(s platformstate.State) bool { _, ok := s.Inventory.Target("late"); return ok })
	})
}

// This is a rolling restart in a fleet whose targets take several calls to read.
func TestRestartedDaemonsCopyFromSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(newStore())
		defer f.close()
		before := f.store.fullReadCount()
		for i := 3; i < daemonCount; i++ {
			f.restart(i)
			f.within(t, 50*time.Millisecond, []int{i}, func(s platformstate.State) bool { return s.Configured() })
			time.Sleep(time.Second)
		}
		require.Equal(t, before, f.store.fullReadCount())
	})
}

// A target starts draining while the seeds can neither receive pushes nor read the store. A daemon that restarts then
// fetches its copy from one of them.
func TestRestartedDaemonObeysADrainThatItsSeedsDoNotKnow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(newStore())
		defer f.close()
		f.setNoPushes(0, 1, 2)
		for _, seed := range []string{"0", "1", "2"} {
			f.store.setDown(seed, true)
		}
		f.store.put(inventory.Target{ID: "t0", Service: "s0", Slots: 2, Draining: true})
		time.Sleep(drainBound)
		f.restart(7)
		f.within(t, 50*time.Millisecond, []int{7}, drained("t0"))
	})
}

func TestInvalidateReadsImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(newStore())
		defer f.close()
		f.store.put(inventory.Target{ID: "t0", Service: "s0", Slots: 2, Draining: true})
		f.syncers[12].Invalidate()
		f.within(t, 50*time.Millisecond, []int{12}, drained("t0"))
	})
}

// Guards against a push that waited while the process stood still and makes an old copy count as fresh.
func TestPushThatWaitedDoesNotPutOffTheNextRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(newStore())
		defer f.close()
		f.setNoPushes(7)
		f.syncers[7].Invalidate()
		time.Sleep(time.Second)
		before := f.syncers[7].State()
		f.store.put(inventory.Target{ID: "t0", Service: "s0", Slots: 2, Draining: true})
		f.syncers[7].ReceivePush(roster.Member{Name: "0"}, &gossippb.Push{
			Era: before.Inventory.Era, From: before.Inventory.Revision, To: before.Inventory.Revision, Version: 1, ConfigurationComplete: true,
		}, time.Now().Add(-4*time.Second))
		require.Equal(t, before.ReadAt, f.syncers[7].State().ReadAt)
		require.Equal(t, before.ConfigurationReadAt, f.syncers[7].State().ConfigurationReadAt)
		f.within(t, drainBound-time.Second, []int{7}, drained("t0"))
	})
}
