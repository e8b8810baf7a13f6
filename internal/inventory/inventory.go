package inventory

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Inventory holds the published targets at one revision. It is immutable, and its zero value is empty.
type Inventory struct {
	// Revision is the revision of the store up to which changes are included. Era is the store's era, in which alone
	// revisions can be compared: a store that was restored from a backup gives them out again.
	Era, Revision uint64
	targets       map[string]Target
	byService     map[string][]Target
	// retained maps the targets whose entries were removed to the time until which they are retained.
	retained map[string]time.Time
}

// New returns an inventory of the targets at a revision.
func New(revision uint64, targets []Target) Inventory {
	m := make(map[string]Target, len(targets))
	for _, t := range targets {
		m[t.ID] = t
	}
	return build(0, revision, m, nil)
}

func build(era, revision uint64, targets map[string]Target, retained map[string]time.Time) Inventory {
	inv := Inventory{Era: era, Revision: revision, targets: targets, retained: retained, byService: map[string][]Target{}}
	for _, t := range targets {
		inv.byService[t.Service] = append(inv.byService[t.Service], t)
	}
	for _, ts := range inv.byService {
		slices.SortFunc(ts, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	}
	return inv
}

// ByService returns the targets of a service, ordered by ID. The slice must not be modified.
func (i Inventory) ByService(service string) []Target { return i.byService[service] }

// Target returns the target with the given ID.
func (i Inventory) Target(id string) (Target, bool) {
	t, ok := i.targets[id]
	return t, ok
}

// All returns all targets, ordered by ID.
func (i Inventory) All() []Target {
	out := slices.Collect(maps.Values(i.targets))
	slices.SortFunc(out, func(a, b Target) int { return strings.Compare(a.ID, b.ID) })
	return out
}

// Len returns the number of targets.
func (i Inventory) Len() int { return len(i.targets) }

// Change is one change of an entry: Put or Delete.
type Change interface {
	// ChangeRevision returns the revision of the change.
	ChangeRevision() uint64
}

// Put is an entry that was written.
type Put struct{ Target Target }

// Delete is the removal of an entry.
type Delete struct {
	ID       string
	Revision uint64
	// RetainUntil is set if the entry may have expired only because of an outage of the store. The target is retained
	// until then.
	RetainUntil time.Time
}

// ChangeRevision returns the revision of the entry.
func (p Put) ChangeRevision() uint64 { return p.Target.Revision }

// ChangeRevision returns the revision of the removal.
func (d Delete) ChangeRevision() uint64 { return d.Revision }

// With returns the inventory with the changes applied in order, up to the given revision.
func (i Inventory) With(revision uint64, changes []Change) Inventory {
	if len(changes) == 0 {
		i.Revision = max(i.Revision, revision)
		return i
	}
	targets := maps.Clone(i.targets)
	if targets == nil {
		targets = map[string]Target{}
	}
	retained := maps.Clone(i.retained)
	if retained == nil {
		retained = map[string]time.Time{}
	}
	for _, c := range changes {
		switch c := c.(type) {
		case Put:
			targets[c.Target.ID] = c.Target
			delete(retained, c.Target.ID)
		case Delete:
			if c.RetainUntil.IsZero() {
				delete(targets, c.ID)
				delete(retained, c.ID)
				continue
			}
			if _, ok := targets[c.ID]; ok {
				retained[c.ID] = c.RetainUntil
			}
		}
	}
	return build(i.Era, max(i.Revision, revision), targets, retained)
}

// InEra returns the inventory as the start of another era, of which it includes no change yet.
func (i Inventory) InEra(era uint64) Inventory {
	i.Era, i.Revision = era, 0
	return i
}

// Compare compares the points in the store's history up to which two inventories include all changes.
func (i Inventory) Compare(era, revision uint64) int {
	return cmp.Or(cmp.Compare(i.Era, era), cmp.Compare(i.Revision, revision))
}

// WithoutExpired returns the inventory without the retained targets that were not published again in time. Without such
// targets it returns the same inventory.
func (i Inventory) WithoutExpired(now time.Time) Inventory {
	var expired []Change
	for id, until := range i.retained {
		if !now.Before(until) {
			expired = append(expired, Delete{ID: id})
		}
	}
	if len(expired) == 0 {
		return i
	}
	return i.With(i.Revision, expired)
}

// NextExpiry returns when the next retained target expires, or false if none is retained.
func (i Inventory) NextExpiry() (time.Time, bool) {
	if len(i.retained) == 0 {
		return time.Time{}, false
	}
	return slices.MinFunc(slices.Collect(maps.Values(i.retained)), time.Time.Compare), true
}

// Retained reports whether the target's entry was removed and the target is only retained for a limited time.
func (i Inventory) Retained(id string) bool {
	_, ok := i.retained[id]
	return ok
}

// Removals returns the removals of the retained targets, ordered by ID.
func (i Inventory) Removals() []Delete {
	var out []Delete
	for _, id := range slices.Sorted(maps.Keys(i.retained)) {
		out = append(out, Delete{ID: id, Revision: i.Revision, RetainUntil: i.retained[id]})
	}
	return out
}
