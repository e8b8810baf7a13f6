package storesync

import (
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
)

func encodeTarget(t inventory.Target, now time.Time) *gossippb.Target {
	return &gossippb.Target{
		Id: t.ID, Service: t.Service, Address: t.Address, AvailabilityZone: t.AvailabilityZone,
		Slots: uint32(max(t.Slots, 0)), Draining: t.Draining, Born: t.StartMillis,
		ColdLeftMillis: toMillis(t.ColdUntil.Sub(now)), Revision: t.Revision,
	}
}

func decodeTarget(t *gossippb.Target, now time.Time) inventory.Target {
	out := inventory.Target{
		ID: t.GetId(), Service: t.GetService(), Address: t.GetAddress(), AvailabilityZone: t.GetAvailabilityZone(),
		Slots: int(t.GetSlots()), Draining: t.GetDraining(), StartMillis: t.GetBorn(), Revision: t.GetRevision(),
	}
	if left := t.GetColdLeftMillis(); left > 0 {
		out.ColdUntil = now.Add(fromMillis(left))
	}
	return out
}

// encodePush encodes the changes of steps that follow a revision.
func encodePush(steps []step, from uint64, s platformstate.State, now time.Time) *gossippb.Push {
	p := &gossippb.Push{
		Era: s.Inventory.Era, From: from, To: s.Inventory.Revision, AgeMillis: toMillis(now.Sub(s.ReadAt)),
		Version: s.OperatorState.Version(), ZonesOut: s.OperatorState.ZonesOut, ConfigurationComplete: !s.MayLackConfiguration(),
	}
	for _, st := range steps {
		for _, c := range st.changes {
			addChange(p, c, now)
		}
	}
	return p
}

func addChange(p *gossippb.Push, c inventory.Change, now time.Time) {
	switch c := c.(type) {
	case inventory.Put:
		p.Puts = append(p.Puts, encodeTarget(c.Target, now))
	case inventory.Delete:
		p.Removals = append(p.Removals, encodeRemoval(c, now))
	}
}

func encodeRemoval(c inventory.Delete, now time.Time) *gossippb.Removal {
	return &gossippb.Removal{Id: c.ID, Revision: c.Revision, KeepMillis: toMillis(c.RetainUntil.Sub(now))}
}

func decodeRemoval(r *gossippb.Removal, now time.Time) inventory.Delete {
	d := inventory.Delete{ID: r.GetId(), Revision: r.GetRevision()}
	if r.GetKeepMillis() > 0 {
		d.RetainUntil = now.Add(fromMillis(r.GetKeepMillis()))
	}
	return d
}

// decodeChanges returns the changes in a push, ordered by revision.
func decodeChanges(p *gossippb.Push, now time.Time) []inventory.Change {
	var out []inventory.Change
	for _, t := range p.GetPuts() {
		out = append(out, inventory.Put{Target: decodeTarget(t, now)})
	}
	for _, r := range p.GetRemovals() {
		out = append(out, decodeRemoval(r, now))
	}
	sortByRevision(out)
	return out
}

// encodeCopy encodes the state that a peer lacks.
func encodeCopy(h *history, s platformstate.State, key packKey, now time.Time) *gossippb.Copy {
	c := &gossippb.Copy{
		Era: s.Inventory.Era, Revision: s.Inventory.Revision, ZonesOut: s.OperatorState.ZonesOut, Version: s.OperatorState.Version(),
		ConfigurationComplete: !s.MayLackConfiguration(),
	}
	if key.document {
		c.Configuration = s.OperatorState.Document
	}
	if key.changes {
		c.Changes = encodePush(h.steps, h.start(), s, now)
		return c
	}
	c.Targets = lo.Map(s.Inventory.All(), func(t inventory.Target, _ int) *gossippb.Target { return encodeTarget(t, now) })
	c.Removals = lo.Map(s.Inventory.Removals(), func(d inventory.Delete, _ int) *gossippb.Removal { return encodeRemoval(d, now) })
	return c
}

func toMillis(d time.Duration) uint32 {
	return uint32(max(d.Milliseconds(), 0))
}

func fromMillis(millis uint32) time.Duration {
	return time.Duration(millis) * time.Millisecond
}
