package storesync

import (
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/published"
)

// apply takes in a delta that ends at or after the copy's revision; own says that this daemon read it from the store.
// The caller holds mu.
func (s *Syncer) apply(d Delta, at time.Time, own bool) {
	before := s.State()
	if d.Revision < before.Inventory.Revision {
		return
	}
	now := time.Now()
	away := !before.FreshAt.IsZero() && now.Sub(before.FreshAt) > lapseGap
	s.dropOldRead(at)
	d.Targets = lo.Filter(d.Targets, func(c inventory.Changed, _ int) bool { return c.At() > before.Inventory.Revision })
	d.Targets = material(before.Inventory, d.Targets)
	if away || before.FreshAt.IsZero() || own && s.lost {
		s.returned = now
	}
	switch {
	case own && s.lost && away:
		d.Targets = keepLapsed(d.Targets, now.Add(returnSpan))
	case !own && !away:
		// This daemon was in touch all the while: what went is gone, whatever the sender had missed.
		d.Targets = keepLapsed(d.Targets, time.Time{})
	}
	after := before
	after.Inventory = before.Inventory.With(d.Revision, d.Targets)
	for _, c := range d.Orders {
		after.Orders = after.Orders.With(c)
	}
	after = after.WithFreshAt(at)
	s.history.add(step{from: before.Inventory.Revision, to: d.Revision, changes: d.Targets, at: now})
	s.set(before, after)
}

func (s *Syncer) set(before, after published.State) {
	s.o.Cell.Set(&after)
	if s.o.Changed != nil {
		s.o.Changed(before, after)
	}
	s.nudge()
}

// dropOldRead ends a read that hangs while a peer has read since.
func (s *Syncer) dropOldRead(freshAt time.Time) {
	if s.cancelRead != nil && freshAt.Sub(s.reading) > callTimeout {
		s.cancelRead()
	}
}

// keepLapsed sets until when the targets of removals are kept: those that a daemon hears of first after it could not
// read may only be entries that expired while the store was away. The zero time keeps none.
func keepLapsed(changes []inventory.Changed, until time.Time) []inventory.Changed {
	out := make([]inventory.Changed, len(changes))
	for i, c := range changes {
		if g, gone := c.(inventory.Gone); gone {
			g.KeepUntil = until
			c = g
		}
		out[i] = c
	}
	return out
}

// material leaves out the changes that only renew an entry.
func material(inv inventory.Inventory, changes []inventory.Changed) []inventory.Changed {
	latest := map[string]inventory.Changed{}
	var out []inventory.Changed
	for _, c := range changes {
		p, put := c.(inventory.Put)
		if !put {
			latest[c.(inventory.Gone).ID] = c
			out = append(out, c)
			continue
		}
		old, known := inv.Target(p.Target.ID)
		_, touched := latest[p.Target.ID]
		if last, ok := latest[p.Target.ID].(inventory.Put); ok {
			old = last.Target
		}
		if known && !touched && p.Target.SameAs(old, coldSlack) && !inv.Lapsing(p.Target.ID) {
			continue
		}
		latest[p.Target.ID] = c
		out = append(out, c)
	}
	return out
}

// dropLapsed removes the targets that did not publish themselves again.
func (s *Syncer) dropLapsed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.State()
	after := before
	after.Inventory = before.Inventory.WithoutLapsed(time.Now())
	if after.Inventory.Len() != before.Inventory.Len() {
		s.set(before, after)
	}
}
