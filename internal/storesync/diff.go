package storesync

import (
	"cmp"
	"slices"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/operatorstate"
	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
)

// diff returns the delta from a state to the result of a full read.
func diff(before platformstate.State, f FullState) Delta {
	d := Delta{Era: f.Era, Revision: f.Revision, Whole: true}
	seen := map[string]bool{}
	for _, t := range f.Targets {
		seen[t.ID] = true
		d.Targets = append(d.Targets, inventory.Put{Target: t})
	}
	for _, t := range before.Inventory.All() {
		if !seen[t.ID] {
			d.Targets = append(d.Targets, inventory.Delete{ID: t.ID, Revision: f.Revision})
		}
	}
	if f.OperatorState.Table != nil {
		d.OperatorState = append(d.OperatorState, operatorstate.Configuration{Table: f.OperatorState.Table, Document: f.OperatorState.Document})
	}
	d.OperatorState = append(d.OperatorState, zoneChanges(before.OperatorState.ZonesOut, f.OperatorState.ZonesOut)...)
	return d
}

func zoneChanges(before, after []string) []operatorstate.Change {
	var out []operatorstate.Change
	for _, z := range after {
		if !slices.Contains(before, z) {
			out = append(out, operatorstate.ZoneOut{Name: z})
		}
	}
	for _, z := range before {
		if !slices.Contains(after, z) {
			out = append(out, operatorstate.ZoneRestored{Name: z})
		}
	}
	return out
}

func sortByRevision(changes []inventory.Change) {
	slices.SortStableFunc(changes, func(a, b inventory.Change) int { return cmp.Compare(a.ChangeRevision(), b.ChangeRevision()) })
}
