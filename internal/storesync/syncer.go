package storesync

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
	"github.com/knapweedpoint/knapweedpoint/internal/roster"
)

const (
	// callTimeout is the timeout of one read. The store responds in 4 ms, and two calls must fit into the part of the
	// drain bound that readAge leaves.
	callTimeout = 400 * time.Millisecond
	// maxCallTimeout limits the timeout for a slow store; each read that times out doubles the timeout of the next one.
	maxCallTimeout = 3200 * time.Millisecond
	// firstBackoff and maxBackoff limit the backoff after a failed read. Every call costs money, but after an outage
	// of the store, daemons must have read it within the 4 s after which they count as in touch with it.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// startBackoff is the pause after a failed read of a daemon that has no configuration yet and cannot serve requests.
	// Its reads use callTimeout, except for every longTryEvery-th read, which uses maxCallTimeout in case the store is
	// slow.
	startBackoff = 100 * time.Millisecond
	longTryEvery = 4
	// pushingRanks is how many daemons push what they read to all others. The other daemons of a large fleet, which read
	// at about the same time when all of these fail, would only push the same changes to each other.
	pushingRanks = 16
	// maxResponses limits the responses of one read: each holds 500 changes, and there are at most 1,000 changes a second
	// over the drain bound.
	maxResponses = 20
	// copyTimeout is the timeout of one fetch: about 60 KB over a link of 14 Mbit/s that is shared with other fetches.
	copyTimeout = 1500 * time.Millisecond
	// recoveryInterval is the time between reads of the store reader while targets republish themselves after an outage
	// of the store.
	recoveryInterval = 300 * time.Millisecond
	// expiryAge is the copy age from which on entries may have expired while no daemon could read: two heartbeats.
	expiryAge = 2500 * time.Millisecond
	// recoveryWindow is the time after an outage of the store within which live targets have republished themselves.
	recoveryWindow = 2500 * time.Millisecond
	// coldTolerance is the difference between two published ends of one cold start that is not pushed to peers.
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
	// Fetch returns the state of a peer that this daemon lacks.
	Fetch(ctx context.Context, from roster.Member, have *gossippb.FetchRequest) (*gossippb.PackedCopy, error)
	// Seeds returns the daemons that a starting daemon may fetch from. They may no longer exist.
	Seeds() []roster.Member
	// Members returns the number of live daemons.
	Members() int
	// Rank returns the rank of this daemon among the candidates for the store reader, from 0.
	Rank() int
}

// Options of a Syncer.
type Options struct {
	Source Source
	Peers  Peers
	Cell   *blackboard.Cell[platformstate.State]
	// DrainBound returns the drain bound, within which a leaving target must stop receiving work.
	DrainBound func() time.Duration
	// FirstStart is set when all daemons start together for the first time.
	FirstStart bool
	// OnChange is called after the copy changed, with the state before and after.
	OnChange func(before, after platformstate.State)
	Log      *zap.Logger
}

// Syncer keeps one daemon's copy of the platform state up to date.
type Syncer struct {
	o    Options
	wake chan struct{}
	// behind wakes copyLoop when a peer has newer state.
	behind chan struct{}

	mu         sync.Mutex
	history    history
	candidates candidates
	packCache  packCache
	// recovered is when a daemon without a copy, or with a stale one, received an update again. Reads are more frequent
	// for a while after it.
	recovered time.Time
	// readStart is when the read in progress began, and cancelRead cancels it.
	readStart  time.Time
	cancelRead context.CancelFunc

	// storeLost is set while reads fail.
	storeLost bool

	// The fields below are used only by readLoop.
	nextTry time.Time
	backoff time.Duration
	timeout time.Duration
	// failures counts failed reads.
	failures int
}

// New returns a syncer with an empty copy.
func New(o Options) *Syncer {
	return &Syncer{o: o, wake: make(chan struct{}, 1), behind: make(chan struct{}, 1), timeout: callTimeout}
}

// State returns the cached copy.
func (s *Syncer) State() platformstate.State {
	if p := s.o.Cell.Get(); p != nil {
		return *p
	}
	return platformstate.State{}
}

// Invalidate marks the copy as stale, so that the daemon reads the store at once. It is called after the process was
// suspended.
func (s *Syncer) Invalidate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.o.Cell.Update(func(p *platformstate.State) *platformstate.State {
		if p == nil {
			return nil
		}
		next := *p
		next.ReadAt = time.Time{}
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
		case <-s.behind:
			s.catchUp(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Syncer) readLoop(ctx context.Context) {
	s.join(ctx)
	for ctx.Err() == nil {
		s.removeExpired()
		timer := time.NewTimer(s.untilDue(time.Now()))
		select {
		case <-timer.C:
			if s.untilDue(time.Now()) <= 0 {
				s.read(ctx)
			}
		case <-s.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// join delays the first read. Daemons that start together spread out their first reads, and stop waiting when they have
// received a copy from a peer. A restarting daemon fetches a copy from some seeds before it reads.
func (s *Syncer) join(ctx context.Context) {
	if !s.o.FirstStart {
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
	for _, seed := range lo.Samples(s.o.Peers.Seeds(), seedFanOut) {
		group.Go(func() error { s.fetch(ctx, seed); return nil })
	}
	// A fetch ends with ctx and logs its own failure.
	_ = group.Wait()
}

// untilDue returns the time until the next read is due.
func (s *Syncer) untilDue(now time.Time) time.Duration {
	rank := s.o.Peers.Rank()
	age := readAge(rank, s.o.DrainBound())
	if rank == 0 && s.recovering(now) {
		age = min(age, recoveryInterval)
	}
	at := s.State().ReadAt.Add(age)
	if s.nextTry.After(at) {
		at = s.nextTry
	}
	return max(at.Sub(now), 0)
}

func (s *Syncer) wakeReadLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Syncer) read(ctx context.Context) {
	more, err := true, error(nil)
	for range maxResponses {
		if more, err = s.readTimed(ctx); err != nil {
			s.readFailed(err)
			return
		}
		if !more {
			break
		}
	}
	s.mu.Lock()
	storeLost := s.storeLost
	s.storeLost = false
	s.mu.Unlock()
	if storeLost {
		events.StoreRegained.Log(s.o.Log, zap.Uint64("revision", s.State().Inventory.Revision))
	}
	s.timeout, s.backoff, s.nextTry = callTimeout, 0, time.Time{}
	now := time.Now()
	if s.o.Peers.Rank() >= pushingRanks {
		return
	}
	s.mu.Lock()
	steps, from := s.history.recent()
	p := encodePush(steps, from, s.State(), now)
	s.mu.Unlock()
	s.o.Peers.Push(p)
}

// readTimed reads once with the current timeout. It reports whether the response may have left out changes.
func (s *Syncer) readTimed(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	begun := time.Now()
	s.mu.Lock()
	s.readStart, s.cancelRead = begun, cancel
	s.mu.Unlock()
	more, err := s.readOnce(ctx, begun)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		s.timeout = min(2*s.timeout, maxCallTimeout)
	}
	return more, err
}

func (s *Syncer) readOnce(ctx context.Context, begun time.Time) (bool, error) {
	state := s.State()
	if state.Inventory.Revision == 0 || !state.Configured() {
		return false, s.readAll(ctx, begun)
	}
	d, err := s.o.Source.Changes(ctx, state.Inventory.Revision)
	if errorx.IsOfType(err, ErrCompacted) {
		events.StoreRead.Log(s.o.Log, zap.String("why", "history forgotten"), zap.Uint64("after", state.Inventory.Revision))
		return false, s.readAll(ctx, begun)
	}
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := begun
	if d.More {
		// The changes that were left out may precede this read.
		at = time.Time{}
	}
	s.apply(d, at, true)
	return d.More, nil
}

func (s *Syncer) readAll(ctx context.Context, begun time.Time) error {
	f, err := s.o.Source.Read(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(diff(s.State(), f), begun, true)
	events.StoreRead.Log(s.o.Log, zap.String("why", "whole"), zap.Uint64("revision", f.Revision), zap.Int("targets", len(f.Targets)))
	return nil
}

func (s *Syncer) readFailed(err error) {
	s.failures++
	if !s.State().Configured() {
		s.timeout = callTimeout
		if s.failures%longTryEvery == 0 {
			s.timeout = maxCallTimeout
		}
		s.nextTry = time.Now().Add(startBackoff)
		s.markStoreLost(err)
		return
	}
	s.backoff = min(max(2*s.backoff, firstBackoff), maxBackoff)
	// The jitter keeps daemons whose reads failed together from retrying together.
	s.nextTry = time.Now().Add(s.backoff/2 + time.Duration(rand.Int64N(int64(s.backoff))))
	s.markStoreLost(err)
}

func (s *Syncer) markStoreLost(err error) {
	s.mu.Lock()
	storeLost := s.storeLost
	s.storeLost = true
	s.mu.Unlock()
	if storeLost {
		return
	}
	events.StoreLost.Log(s.o.Log, zap.Error(err), zap.Duration("age", time.Since(s.State().ReadAt)))
}

// recovering reports whether targets may still be republishing themselves after an outage of the store.
func (s *Syncer) recovering(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.recovered.IsZero() && now.Before(s.recovered.Add(recoveryWindow))
}
