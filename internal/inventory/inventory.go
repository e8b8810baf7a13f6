package inventory

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Inventory is all that is published of targets and zones at one revision; it is immutable and its zero value is empty.
type Inventory struct {
	// Revision is the store's revision up to which the targets are known.
	Revision  uint64
	targets   map[string]Target
	byService map[string][]Target
	lapsed    map[string]time.Time
}

// New returns an inventory of the targets at a revision.
func New(revision uint64, targets []Target) Inventory {
	m := make(map[string]Target, len(targets))
	for _, t := range targets {
		m[t.ID] = t
	}
	return build(revision, m, nil)
}

func build(revision uint64, targets map[string]Target, lapsed map[string]time.Time) Inventory {
	inv := Inventory{Revision: revision, targets: targets, lapsed: lapsed, byService: map[string][]Target{}}
	for _, t := range targets {
		inv.byService[t.Service] = append(inv.byService[t.Service], t)
	}
	for _, ts := range inv.byService {
		slices.SortFunc(ts, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	}
	return inv
}

// Of returns the targets of a service in the order of their ids; the slice must not be changed.
func (i Inventory) Of(service string) []Target { return i.byService[service] }

// Target returns the target with an id.
func (i Inventory) Target(id string) (Target, bool) {
	t, ok := i.targets[id]
	return t, ok
}

// All returns every target in the order of the ids.
func (i Inventory) All() []Target {
	out := slices.Collect(maps.Values(i.targets))
	slices.SortFunc(out, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Len returns the number of targets.
func (i Inventory) Len() int { return len(i.targets) }

// Changed is one change of an entry: Put or Gone.
type Changed interface {
	// At returns the revision of the change.
	At() uint64
}

// Put is an entry as it was written.
type Put struct{ Target Target }

// Gone is the removal of an entry.
type Gone struct {
	ID       string
	Revision uint64
	// KeepUntil is set when the entry may have expired only because the store was away; the target is kept until then.
	KeepUntil time.Time
}

// At returns the revision of the entry.
func (p Put) At() uint64 { return p.Target.Revision }

// At returns the revision of the removal.
func (g Gone) At() uint64 { return g.Revision }

// With returns the inventory after the changes, in their order, up to a revision.
func (i Inventory) With(revision uint64, changes []Changed) Inventory {
	if len(changes) == 0 {
		i.Revision = max(i.Revision, revision)
		return i
	}
	targets := maps.Clone(i.targets)
	if targets == nil {
		targets = map[string]Target{}
	}
	lapsed := maps.Clone(i.lapsed)
	if lapsed == nil {
		lapsed = map[string]time.Time{}
	}
	for _, c := range changes {
		switch c := c.(type) {
		case Put:
			targets[c.Target.ID] = c.Target
			delete(lapsed, c.Target.ID)
		case Gone:
			if c.KeepUntil.IsZero() {
				delete(targets, c.ID)
				delete(lapsed, c.ID)
				continue
			}
			if _, ok := targets[c.ID]; ok {
				lapsed[c.ID] = c.KeepUntil
			}
		}
	}
	return build(max(i.Revision, revision), targets, lapsed)
}

// WithoutLapsed returns the inventory without the entries that did not come back in time; the same one when there are none.
func (i Inventory) WithoutLapsed(now time.Time) Inventory {
	var over []Changed
	for id, until := range i.lapsed {
		if !now.Before(until) {
			over = append(over, Gone{ID: id})
		}
	}
	if len(over) == 0 {
		return i
	}
	return i.With(i.Revision, over)
}

// Lapsing reports whether the target's entry is gone and it is kept only for a while.
func (i Inventory) Lapsing(id string) bool {
	_, ok := i.lapsed[id]
	return ok
}
