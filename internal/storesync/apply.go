package storesync

import (
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/operatorstate"
	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
)

// apply merges a delta into the copy, unless the delta ends before the copy, or the copy lacks changes before the delta
// because they are of different eras. It reports whether it did. The parameter readAt is the time as of which the delta is
// complete, and fromStore is set if this daemon read it from the store. The caller holds mu.
func (s *Syncer) apply(d Delta, readAt time.Time, fromStore bool) bool {
	before := s.State()
	if before.Inventory.Compare(d.Era, d.Revision) > 0 || d.Era != before.Inventory.Era && !d.Whole {
		return false
	}
	now := time.Now()
	stale := !before.ReadAt.IsZero() && now.Sub(before.ReadAt) > expiryAge
	after := before
	if d.Era != before.Inventory.Era {
		d = s.enterEra(before, d, fromStore, now)
		after.Inventory = before.Inventory.InEra(d.Era)
		after.ConfigurationRevision = 0
	}
	d.Targets = lo.Filter(d.Targets, func(c inventory.Change, _ int) bool { return c.ChangeRevision() > after.Inventory.Revision })
	d.Targets = significantChanges(before.Inventory, d.Targets)
	// The store may have been silent, and entries may have expired, since the copy was last complete.
	lost := fromStore && s.schedule.unansweredAt.After(before.ReadAt)
	if stale || before.ReadAt.IsZero() || lost {
		s.recovered = now
		s.schedule.endBackoff()
	}
	switch {
	case d.Era != before.Inventory.Era:
	case lost && stale:
		d.Targets = retainRemoved(d.Targets, s.recoveryEnd(before, now))
	case !fromStore && !stale && !before.ReadAt.IsZero():
		// This copy has been up to date throughout, so the removals are final even if the sender lost contact with the
		// store.
		d.Targets = retainRemoved(d.Targets, time.Time{})
	}
	s.history.add(step{from: after.Inventory.Revision, to: d.Revision, changes: d.Targets, at: now})
	after.Inventory = after.Inventory.With(d.Revision, d.Targets)
	for _, c := range d.OperatorState {
		after.OperatorState = after.OperatorState.With(c)
	}
	after = after.WithReadAt(readAt)
	if after.ConfigurationRevision >= d.ConfigurationsAfter {
		after = after.WithConfigurationRead(d.Revision, readAt)
	}
	// A peer has read the store since these reads began, so they hang.
	s.schedule.abandonBefore(after.CompleteAt().Add(-callTimeout))
	s.set(before, after)
	return true
}

// enterEra returns the delta to the state of a store that was restored from a backup. The store lacks what was written
// since the backup until it is written again, so that what this copy has of it is retained until recoveryEnd. The store is
// then read in full once more.
func (s *Syncer) enterEra(before platformstate.State, d Delta, fromStore bool, now time.Time) Delta {
	if before.Inventory.Revision == 0 {
		return d
	}
	events.StoreRestored.Log(s.options.Log, zap.Uint64("era", d.Era), zap.Uint64("eraBefore", before.Inventory.Era),
		zap.Uint64("revision", d.Revision), zap.Uint64("before", before.Inventory.Revision))
	if !fromStore {
		return d
	}
	s.recovered, s.readAgainAt = now, s.recoveryEnd(before, now)
	d.Targets = retainRemoved(d.Targets, s.readAgainAt)
	d.OperatorState = lo.Reject(d.OperatorState, func(c operatorstate.Change, _ int) bool {
		_, restored := c.(operatorstate.ZoneRestored)
		return restored
	})
	return d
}

// recoveryEnd returns the time until which entries that the store lacks are retained. The store has returned at the earliest
// at the start of the latest call that it has not answered, or after the time as of which the copy is complete.
func (s *Syncer) recoveryEnd(before platformstate.State, now time.Time) time.Time {
	end := now.Add(recoveryWindow)
	lastAway := later(s.schedule.unansweredAt, before.ReadAt)
	if latest := lastAway.Add(returnWindow); !lastAway.IsZero() && latest.Before(end) {
		return latest
	}
	return end
}

func (s *Syncer) set(before, after platformstate.State) {
	if s.options.OnChange != nil {
		s.options.OnChange(before, after)
	}
	s.options.Copy.Set(&after)
	s.wakeReadLoop()
	if s.options.AfterChange != nil {
		s.options.AfterChange()
	}
}

// retainRemoved sets the time until which the targets of removals are retained. The entries that are missing in the
// first read after an outage of the store may merely have expired because their targets could not renew them. With the
// zero time, no target is retained.
func retainRemoved(changes []inventory.Change, until time.Time) []inventory.Change {
	out := make([]inventory.Change, len(changes))
	for i, c := range changes {
		if d, ok := c.(inventory.Delete); ok {
			d.RetainUntil = until
			c = d
		}
		out[i] = c
	}
	return out
}

// significantChanges returns the changes without those that only renew an entry.
func significantChanges(inv inventory.Inventory, changes []inventory.Change) []inventory.Change {
	latest := map[string]inventory.Change{}
	var out []inventory.Change
	for _, c := range changes {
		p, put := c.(inventory.Put)
		if !put {
			latest[c.(inventory.Delete).ID] = c
			out = append(out, c)
			continue
		}
		old, known := inv.Target(p.Target.ID)
		_, changed := latest[p.Target.ID]
		if last, ok := latest[p.Target.ID].(inventory.Put); ok {
			old = last.Target
		}
		if known && !changed && p.Target.SameAs(old, coldTolerance) && !inv.Retained(p.Target.ID) {
			continue
		}
		latest[p.Target.ID] = c
		out = append(out, c)
	}
	return out
}

// removeExpired removes the retained targets that were not published again in time.
func (s *Syncer) removeExpired() {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.State()
	after := before
	after.Inventory = before.Inventory.WithoutExpired(time.Now())
	if after.Inventory.Len() != before.Inventory.Len() {
		s.set(before, after)
	}
}
