package storesync

import (
	"cmp"
	"context"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
)

const (
	// pushingRanks is how many daemons push what they read to all others. The other daemons of a large fleet, which read
	// at about the same time when all of these fail, would only push the same changes to each other.
	pushingRanks = 16
	// maxResponses limits the responses of one read: each holds 500 changes, and there are at most 1,000 changes a second
	// over the drain bound.
	maxResponses = 20
)

// startRead starts a read in the group.
func (s *Syncer) startRead(ctx context.Context, group *errgroup.Group) {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	read := s.schedule.begin(time.Now(), s.State().CompleteAt(), cancel)
	s.mu.Unlock()
	group.Go(func() error {
		defer cancel()
		s.read(ctx, read)
		s.wakeReadLoop()
		return nil
	})
}

func (s *Syncer) read(ctx context.Context, read *storeRead) {
	more, err := true, error(nil)
	for range maxResponses {
		if more, err = s.readWithTimeout(ctx, read); err != nil {
			s.handleReadFailure(read, err)
			return
		}
		if !more {
			break
		}
	}
	s.mu.Lock()
	s.schedule.succeed(read)
	wasLost := s.storeLost
	s.storeLost = false
	s.mu.Unlock()
	if wasLost {
		events.StoreRegained.Log(s.options.Log, zap.Uint64("revision", s.State().Inventory.Revision))
	}
	if s.options.Peers.Rank() >= pushingRanks {
		return
	}
	s.mu.Lock()
	steps, from := s.history.recent()
	p := encodePush(steps, from, s.State(), time.Now())
	s.mu.Unlock()
	s.options.Peers.Push(p)
}

// readWithTimeout calls the store once. It reports whether the response may have left out changes.
func (s *Syncer) readWithTimeout(ctx context.Context, read *storeRead) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, read.timeout)
	defer cancel()
	start := time.Now()
	s.mu.Lock()
	read.start = start
	s.mu.Unlock()
	return s.readOnce(ctx, start)
}

func (s *Syncer) readOnce(ctx context.Context, start time.Time) (bool, error) {
	state := s.State()
	if why := s.fullReadReason(state, start); why != "" {
		return false, s.readAll(ctx, start, why)
	}
	if state.MayLackConfiguration() {
		if err := s.readConfiguration(ctx, start, state.Inventory.Era); err != nil {
			return false, err
		}
	}
	d, err := s.options.Source.Changes(ctx, state.Inventory.Revision)
	switch {
	case errorx.IsOfType(err, ErrCompacted):
		return false, s.readAll(ctx, start, "history forgotten")
	case err != nil:
		return false, err
	}
	d.Era = cmp.Or(d.Era, state.Inventory.Era)
	if d.Era > state.Inventory.Era {
		return false, s.readAll(ctx, start, "store restored")
	}
	d.ConfigurationsAfter = state.Inventory.Revision
	s.mu.Lock()
	defer s.mu.Unlock()
	readAt := start
	if d.More {
		// The changes that were left out may precede this read.
		readAt = time.Time{}
	}
	return d.More, s.applyRead(d, readAt)
}

// readConfiguration reads the configuration in force. The changes after the inventory's revision do not hold it if peers sent
// later targets without it.
func (s *Syncer) readConfiguration(ctx context.Context, start time.Time, era uint64) error {
	latest, err := s.options.Source.LatestConfiguration(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.State()
	if cmp.Or(latest.Era, era) != before.Inventory.Era {
		// The read of the changes that follows finds out that the store was restored.
		return nil
	}
	after := before.WithConfigurationRead(latest.Revision, start)
	if latest.Table != nil {
		after.OperatorState = before.OperatorState.With(latest.Configuration)
	}
	events.ConfigurationRead.Log(s.options.Log, zap.Uint64("revision", latest.Revision), zap.Uint64("version", after.OperatorState.Version()),
		zap.Uint64("before", before.OperatorState.Version()))
	s.set(before, after)
	return nil
}

// fullReadReason returns why the store must be read in full; empty if its changes are enough.
func (s *Syncer) fullReadReason(state platformstate.State, now time.Time) string {
	if state.Inventory.Revision == 0 || !state.Configured() {
		return "first"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.readAgainAt.IsZero() && !now.Before(s.readAgainAt) {
		return "again after a restore"
	}
	return ""
}

func (s *Syncer) readAll(ctx context.Context, start time.Time, why string) error {
	f, err := s.options.Source.Read(ctx)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	events.StoreRead.Log(s.options.Log, zap.String("why", why), zap.Uint64("era", f.Era), zap.Uint64("revision", f.Revision), zap.Int("targets", len(f.Targets)))
	if !s.readAgainAt.IsZero() && !start.Before(s.readAgainAt) {
		s.readAgainAt = time.Time{}
	}
	state := s.State()
	f.Era = cmp.Or(f.Era, state.Inventory.Era)
	return s.applyRead(diff(state, f), start)
}

// applyRead applies a delta that was read from the store. A delta that can't be applied is an error, unless peers have
// told of a later read meanwhile: the next read would otherwise be due at once. The caller holds mu.
func (s *Syncer) applyRead(d Delta, readAt time.Time) error {
	state := s.State()
	if s.apply(d, readAt, true) || state.ReadAt.After(readAt) {
		return nil
	}
	return errorx.IllegalState.New("store answers from era %d, revision %d, older than the copy of era %d, revision %d",
		d.Era, d.Revision, state.Inventory.Era, state.Inventory.Revision)
}

func (s *Syncer) handleReadFailure(read *storeRead, err error) {
	configured := s.State().Configured()
	s.mu.Lock()
	counts := s.schedule.fail(read, time.Now(), configured)
	s.mu.Unlock()
	if counts {
		s.markStoreLost(err)
	}
}

func (s *Syncer) markStoreLost(err error) {
	s.mu.Lock()
	wasLost := s.storeLost
	s.storeLost = true
	s.mu.Unlock()
	if wasLost {
		return
	}
	events.StoreLost.Log(s.options.Log, zap.Error(err), zap.Duration("age", time.Since(s.State().ReadAt)))
}
