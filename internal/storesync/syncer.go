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
	"github.com/knapweedpoint/knapweedpoint/internal/published"
	"github.com/knapweedpoint/knapweedpoint/internal/roster"
)

const (
	// callTimeout bounds one read: the store answers in 4 ms, and two calls must fit into what limit leaves of the bound.
	callTimeout = 400 * time.Millisecond
	// maxCallTimeout bounds reads of a store that is slow; each that times out doubles the next one's time.
	maxCallTimeout = 3200 * time.Millisecond
	// firstBackoff and maxBackoff bound the pause after a failed read. All calls are priced, and a store that is
	// back must be read within the 4 s after which daemons count as in touch.
	firstBackoff = 250 * time.Millisecond
	maxBackoff   = 2 * time.Second
	// firstTryPause is the pause after a failed read of a daemon that has no configuration yet and can serve nobody;
	// its reads keep to callTimeout but for each patientTry-th, which waits for a store that is slow.
	firstTryPause = 100 * time.Millisecond
	patientTry    = 4
	// pushingRanks is how many daemons tell all others what they read; the rest of a large fleet, which read at about
	// the same time when all of those fail, would only tell each other the same.
	pushingRanks = 16
	// maxAnswers bounds the answers of one read: 500 changes each, of 1,000 a second at most over the drain bound.
	maxAnswers = 20
	// copyTimeout bounds one copy: some 60 KB over a link of 14 Mbit/s that others copy over as well.
	copyTimeout = 1500 * time.Millisecond
	// returnEvery is how often the first in rank reads while targets publish themselves again after the store's return.
	returnEvery = 300 * time.Millisecond
	// lapseGap is how old a copy is when entries may have expired while nobody could read: two heartbeats.
	lapseGap = 2500 * time.Millisecond
	// returnSpan is how soon after the store's return live targets have published themselves again.
	returnSpan = 2500 * time.Millisecond
	// coldSlack is how far two statements of one cold start may lie apart without being told to peers.
	coldSlack = 400 * time.Millisecond
	// firstStartSpread is the time over which daemons that start together spread their first reads.
	firstStartSpread = 1500 * time.Millisecond
	// copyPace times the number of daemons is the time over which they spread their copies of one change: a copy of
	// 6 KB takes some 3 ms of a link of 18 Mbit/s.
	copyPace = 3 * time.Millisecond
	// seedsAsked is how many seeds a daemon that starts again asks at once, seedPatience how long it waits for them before
	// it reads: a copy of 20 KB and its connection take some 20 ms of a VM with 0.134 cores.
	seedsAsked   = 2
	seedPatience = 100 * time.Millisecond
	// joinPoll is how often a starting daemon looks for a peer that has read.
	joinPoll = 20 * time.Millisecond
)

// Peers reaches the other daemons.
type Peers interface {
	// Push tells all live peers what changed.
	Push(p *gossippb.Push)
	// Fetch returns what a peer knows beyond what this daemon has.
	Fetch(ctx context.Context, from roster.Member, have *gossippb.FetchRequest) (*gossippb.PackedCopy, error)
	// Seeds returns daemons that a starting one may ask; they may be gone.
	Seeds() []roster.Member
	// Members returns the number of live daemons.
	Members() int
	// Rank returns the daemon's place, from 0, among those that read for all.
	Rank() int
}

// Options of a Syncer.
type Options struct {
	Source Source
	Peers  Peers
	Cell   *blackboard.Cell[published.State]
	// Bound returns within what time a leaving target must get no more work.
	Bound func() time.Duration
	// FirstStart is set when all daemons start for the first time.
	FirstStart bool
	// Changed is called after the copy changed, with the state before and after.
	Changed func(before, after published.State)
	Log     *zap.Logger
}

// Syncer keeps one daemon's copy of the published state.
type Syncer struct {
	o    Options
	wake chan struct{}
	// behind wakes the copying from peers that know more.
	behind chan struct{}

	mu      sync.Mutex
	history history
	news    news
	packed  packed
	// returned is when a daemon that knew nothing new, or nothing at all, heard of the store again; it sets the pace of reads.
	returned time.Time
	// reading is when the read under way began, cancelRead ends it.
	reading    time.Time
	cancelRead context.CancelFunc

	// lost is set while reads fail.
	lost bool

	// Only readLoop uses the fields below.
	nextTry time.Time
	backoff time.Duration
	timeout time.Duration
	// tries counts failed reads.
	tries int
}

// New returns a syncer of an empty copy.
func New(o Options) *Syncer {
	return &Syncer{o: o, wake: make(chan struct{}, 1), behind: make(chan struct{}, 1), timeout: callTimeout}
}

// State returns the copy.
func (s *Syncer) State() published.State {
	if p := s.o.Cell.Get(); p != nil {
		return *p
	}
	return published.State{}
}

// Doubt makes the daemon read at once, as after a time in which it did not run.
func (s *Syncer) Doubt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.o.Cell.Update(func(p *published.State) *published.State {
		if p == nil {
			return nil
		}
		next := *p
		next.FreshAt = time.Time{}
		return &next
	})
	s.nudge()
}

// Run reads whenever the copy has grown too old, and copies from peers that know more, until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	var group errgroup.Group
	// Copies do not wait for a read that hangs.
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
		s.dropLapsed()
		timer := time.NewTimer(s.due(time.Now()))
		select {
		case <-timer.C:
			if s.due(time.Now()) <= 0 {
				s.read(ctx)
			}
		case <-s.wake:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// join spreads the first reads of daemons that start together, and copies from the first of them instead;
// a daemon that starts again asks some seeds for a copy before it reads.
func (s *Syncer) join(ctx context.Context) {
	if !s.o.FirstStart {
		s.askSeeds(ctx)
		return
	}
	until := time.Now().Add(time.Duration(rand.Int64N(int64(firstStartSpread))))
	for time.Now().Before(until) && ctx.Err() == nil && !s.State().Configured() {
		time.Sleep(joinPoll)
	}
}

// askSeeds takes a copy of a seed where one has it: a whole read of a large fleet's targets takes several priced calls.
func (s *Syncer) askSeeds(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, seedPatience)
	defer cancel()
	var group errgroup.Group
	for _, seed := range lo.Samples(s.o.Peers.Seeds(), seedsAsked) {
		group.Go(func() error { s.fetch(ctx, seed); return nil })
	}
	// A fetch ends with ctx, and logs its failure.
	_ = group.Wait()
}

// due returns how long the daemon need not read.
func (s *Syncer) due(now time.Time) time.Duration {
	rank := s.o.Peers.Rank()
	age := limit(rank, s.o.Bound())
	if rank == 0 && s.returning(now) {
		age = min(age, returnEvery)
	}
	at := s.State().FreshAt.Add(age)
	if s.nextTry.After(at) {
		at = s.nextTry
	}
	return max(at.Sub(now), 0)
}

func (s *Syncer) nudge() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Syncer) read(ctx context.Context) {
	more, err := true, error(nil)
	for range maxAnswers {
		if more, err = s.readTimed(ctx); err != nil {
			s.failed(err)
			return
		}
		if !more {
			break
		}
	}
	s.mu.Lock()
	lost := s.lost
	s.lost = false
	s.mu.Unlock()
	if lost {
		events.StoreRegained.Log(s.o.Log, zap.Uint64("revision", s.State().Inventory.Revision))
	}
	s.timeout, s.backoff, s.nextTry = callTimeout, 0, time.Time{}
	now := time.Now()
	if s.o.Peers.Rank() >= pushingRanks {
		return
	}
	s.mu.Lock()
	steps, from := s.history.short()
	p := encodePush(steps, from, s.State(), now)
	s.mu.Unlock()
	s.o.Peers.Push(p)
}

// readTimed reads once within the time that a read may take; it reports whether more has happened than it was told.
func (s *Syncer) readTimed(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	begun := time.Now()
	s.mu.Lock()
	s.reading, s.cancelRead = begun, cancel
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
	if errorx.IsOfType(err, ErrForgotten) {
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
		// What was left out may be older than the read.
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
	s.apply(difference(s.State(), f), begun, true)
	events.StoreRead.Log(s.o.Log, zap.String("why", "whole"), zap.Uint64("revision", f.Revision), zap.Int("targets", len(f.Targets)))
	return nil
}

func (s *Syncer) failed(err error) {
	s.tries++
	if !s.State().Configured() {
		s.timeout = callTimeout
		if s.tries%patientTry == 0 {
			s.timeout = maxCallTimeout
		}
		s.nextTry = time.Now().Add(firstTryPause)
		s.noteLost(err)
		return
	}
	s.backoff = min(max(2*s.backoff, firstBackoff), maxBackoff)
	// A random half keeps daemons that failed together from coming back together.
	s.nextTry = time.Now().Add(s.backoff/2 + time.Duration(rand.Int64N(int64(s.backoff))))
	s.noteLost(err)
}

func (s *Syncer) noteLost(err error) {
	s.mu.Lock()
	lost := s.lost
	s.lost = true
	s.mu.Unlock()
	if lost {
		return
	}
	events.StoreLost.Log(s.o.Log, zap.Error(err), zap.Duration("age", time.Since(s.State().FreshAt)))
}

// returning reports whether targets may still be publishing themselves again after the store's return.
func (s *Syncer) returning(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.returned.IsZero() && now.Before(s.returned.Add(returnSpan))
}
