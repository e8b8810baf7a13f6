package storesync

import (
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
)

// apply merges a delta into the copy, unless the delta ends before the copy's revision. The parameter readAt is the time
// as of which the delta is complete, and fromStore is set if this daemon read it from the store. The caller holds mu.
func (s *Syncer) apply(d Delta, readAt time.Time, fromStore bool) {
	before := s.State()
	if d.Revision < before.Inventory.Revision {
		return
	}
	now := time.Now()
	stale := !before.ReadAt.IsZero() && now.Sub(before.ReadAt) > expiryAge
	s.cancelHangingRead(readAt)
	d.Targets = lo.Filter(d.Targets, func(c inventory.Change, _ int) bool { return c.ChangeRevision() > before.Inventory.Revision })
	d.Targets = significantChanges(before.Inventory, d.Targets)
	if stale || before.ReadAt.IsZero() || fromStore && s.storeLost {
		s.recovered = now
	}
	switch {
	case fromStore && s.storeLost && stale:
		d.Targets = retainRemoved(d.Targets, now.Add(recoveryWindow))
	case !fromStore && !stale:
		// This copy has been up to date throughout, so the removals are final even if the sender lost contact with the
		// store.
		d.Targets = retainRemoved(d.Targets, time.Time{})
	}
	after := before
	after.Inventory = before.Inventory.With(d.Revision, d.Targets)
	for _, c := range d.OperatorState {
		after.OperatorState = after.OperatorState.With(c)
	}
	after = after.WithReadAt(readAt)
	s.history.add(step{from: before.Inventory.Revision, to: d.Revision, changes: d.Targets, at: now})
	s.set(before, after)
}

func (s *Syncer) set(before, after platformstate.State) {
	if s.options.OnChange != nil {
		s.options.OnChange(before, after)
	}
	s.options.Copy.Set(&after)
	s.wakeReadLoop()
}

// cancelHangingRead cancels the read in progress if a peer has meanwhile completed a read that began much later.
func (s *Syncer) cancelHangingRead(readAt time.Time) {
	if s.cancelRead != nil && readAt.Sub(s.readStart) > callTimeout {
		s.cancelRead()
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
