package storesync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
	"github.com/knapweedpoint/knapweedpoint/internal/roster"
)

const (
	// copyTimeout is the timeout of one fetch: about 60 KB over a link of 14 Mbit/s that is shared with other fetches.
	copyTimeout = 1500 * time.Millisecond
	// recoveryInterval is the time between reads of the store reader while targets republish themselves after an outage
	// of the store.
	recoveryInterval = 300 * time.Millisecond
	// expiryAge is the copy age from which on entries may have expired while no daemon could read: two heartbeats.
	expiryAge = 2500 * time.Millisecond
	// recoveryWindow is the time after an outage of the store within which live targets have republished themselves.
	recoveryWindow = 2500 * time.Millisecond
	// returnWindow is the time after the return of the store within which a daemon must have dropped the targets that were
	// removed before: less than the 4 s after which it counts as in touch with the store.
	returnWindow = 3600 * time.Millisecond
	// coldTolerance is the largest change of the published end of a target's cold start that is not pushed to peers.
	coldTolerance = 400 * time.Millisecond
	// firstStartSpread is the time over which daemons that start together spread out their first reads.
	firstStartSpread = 1500 * time.Millisecond
	// fetchSpread times the number of daemons is the time over which they spread out their fetches of one change: a copy
	// of 6 KB takes about 3 ms on a link of 18 Mbit/s.
	fetchSpread = 3 * time.Millisecond
	// seedFanOut is how many seeds a restarting daemon fetches from at once, and seedTimeout how long it waits for them
	// before it reads the store: a copy of 20 KB and its connection take about 20 ms on a VM with 0.134 cores.
	seedFanOut  = 2
	seedTimeout = 100 * time.Millisecond
	// joinPoll is how often a starting daemon checks whether it has received a copy from a peer.
	joinPoll = 20 * time.Millisecond
)

// Peers communicates with the other daemons.
type Peers interface {
	// Push sends changes to all live peers.
	Push(p *gossippb.Push)
	// Fetch returns the state that a peer has and this daemon lacks.
	Fetch(ctx context.Context, from roster.Member, have *gossippb.FetchRequest) (*gossippb.PackedCopy, error)
	// Seeds returns the daemons that a starting daemon may fetch from. They may no longer exist.
	Seeds() []roster.Member
	// Members returns the number of live daemons.
	Members() int
	// Rank returns this daemon's rank for the role of store reader; the daemon of rank 0 is the store reader.
	Rank() int
}

// Options of a Syncer.
type Options struct {
	Source Source
	Peers  Peers
	// Copy holds the cached copy.
	Copy *blackboard.Cell[platformstate.State]
	// DrainBound returns the drain bound, within which a leaving target must stop receiving work.
	DrainBound func() time.Duration
	// FirstStart is set when all daemons start together for the first time.
	FirstStart bool
	// OnChange is called just before a changed copy comes into force, with the state before and after.
	OnChange func(before, after platformstate.State)
	// AfterChange is called once a changed copy is in force. It is optional.
	AfterChange func()
	Log         *zap.Logger
}

// Syncer keeps one daemon's copy of the platform state up to date.
type Syncer struct {
	options Options
	// readWake wakes readLoop to check when the next read is due.
	readWake chan struct{}
	// copyWake wakes copyLoop when a peer has newer state.
	copyWake chan struct{}

	mu         sync.Mutex
	history    history
	candidates fetchCandidates
	packCache  packCache
	// recovered is when this daemon last received an update while it had no copy or a stale one, or read the store after
	// calls that had no answer. For a while after it, the store reader reads more often.
	recovered time.Time
	// schedule decides when to read.
	schedule readSchedule

	// storeLost is set while reads fail, for the log alone: peers may have told this daemon since that the store is back.
	storeLost bool
	// readAgainAt is when the store is read in full once more because it was restored from a backup; zero if it is not.
	readAgainAt time.Time
}

// New returns a syncer with an empty copy.
func New(o Options) *Syncer {
	return &Syncer{options: o, readWake: make(chan struct{}, 1), copyWake: make(chan struct{}, 1)}
}

// State returns the cached copy.
func (s *Syncer) State() platformstate.State {
	if p := s.options.Copy.Get(); p != nil {
		return *p
	}
	return platformstate.State{}
}

// Invalidate marks the copy as stale, so that the daemon reads the store at once. It is called after the process was
// suspended.
func (s *Syncer) Invalidate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.Copy.Update(func(p *platformstate.State) *platformstate.State {
		if p == nil {
			return nil
		}
		next := *p
		next.ReadAt, next.ConfigurationReadAt = time.Time{}, time.Time{}
		return &next
	})
	s.wakeReadLoop()
}

// Run reads the store whenever the copy is too old, and fetches copies from peers with newer state, until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var group errgroup.Group
	// Fetches must not wait for a read that hangs.
	group.Go(func() error { s.copyLoop(ctx); return nil })
	s.readLoop(ctx)
	_ = group.Wait()
}

func (s *Syncer) copyLoop(ctx context.Context) {
	for {
		select {
		case <-s.copyWake:
			s.catchUp(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Syncer) readLoop(ctx context.Context) {
	s.join(ctx)
	var reads errgroup.Group
	for ctx.Err() == nil {
		s.removeExpired()
		timer := time.NewTimer(s.untilNextEvent(time.Now()))
		select {
		case <-timer.C:
			if s.untilDue(time.Now()) <= 0 {
				s.startRead(ctx, &reads)
			}
		case <-s.readWake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	// A read ends with ctx and logs its own failure.
	_ = reads.Wait()
}

// join delays the first read. Daemons that start together spread out their first reads, and stop waiting when they have
// received a copy from a peer. A restarting daemon fetches a copy from some seeds before it reads.
func (s *Syncer) join(ctx context.Context) {
	if !s.options.FirstStart {
		s.fetchFromSeeds(ctx)
		return
	}
	until := time.Now().Add(time.Duration(rand.Int64N(int64(firstStartSpread))))
	for time.Now().Before(until) && ctx.Err() == nil && !s.State().Configured() {
		time.Sleep(joinPoll)
	}
}

// fetchFromSeeds fetches a copy from some seeds, since a full read of a large fleet's targets takes several calls, each
// of which costs money.
func (s *Syncer) fetchFromSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, seedTimeout)
	defer cancel()
	var group errgroup.Group
	for _, seed := range lo.Samples(s.options.Peers.Seeds(), seedFanOut) {
		group.Go(func() error { s.fetch(ctx, seed); return nil })
	}
	// A fetch ends with ctx and logs its own failure.
	_ = group.Wait()
}

// untilNextEvent returns the time until the next read is due or a retained target expires.
func (s *Syncer) untilNextEvent(now time.Time) time.Duration {
	until := s.untilDue(now)
	if at, ok := s.State().Inventory.NextExpiry(); ok {
		until = min(until, max(at.Sub(now), 0))
	}
	return until
}

// untilDue returns the time until the next read is due.
func (s *Syncer) untilDue(now time.Time) time.Duration {
	rank := s.options.Peers.Rank()
	state := s.State()
	age, interval := readAge(rank, s.options.DrainBound()), probeIntervalOf(rank, state.Configured())
	if rank == 0 && s.recovering(now) {
		age, interval = min(age, recoveryInterval), min(interval, recoveryInterval)
	}
	if expiry, ok := state.Inventory.NextExpiry(); ok && expiry.Sub(state.CompleteAt()) > 2*recoveryInterval {
		// The retained targets may have published themselves again.
		age = min(age, expiry.Sub(state.CompleteAt())-recoveryInterval)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.schedule.due(state.CompleteAt(), age, interval).Sub(now), 0)
}

func (s *Syncer) wakeReadLoop() {
	select {
	case s.readWake <- struct{}{}:
	default:
	}
}

// recovering reports whether targets may still be republishing themselves after an outage of the store.
func (s *Syncer) recovering(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.recovered.IsZero() && now.Before(s.recovered.Add(recoveryWindow))
}
