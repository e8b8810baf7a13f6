package storesync

import (
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
)

const (
	// historySpan is how long changes are told again, so that a lost datagram does no harm.
	historySpan = 6 * time.Second
	// historyLen bounds the changes that one datagram tells, at some 100 bytes each.
	historyLen = 200
)

// step is what changed between two revisions.
type step struct {
	from, to uint64
	changes  []inventory.Changed
	at       time.Time
}

// history holds the latest steps, oldest first; its zero value is empty.
type history struct {
	steps []step
}

func (h *history) add(s step) {
	h.steps = append(h.steps, s)
	n := 0
	for _, x := range h.steps {
		n += len(x.changes)
	}
	for len(h.steps) > 1 && (n > historyLen || s.at.Sub(h.steps[0].at) > historySpan) {
		n -= len(h.steps[0].changes)
		h.steps = h.steps[1:]
	}
}

// all returns the changes of all steps and the revision before the first.
func (h *history) all() (uint64, []inventory.Changed) {
	if len(h.steps) == 0 {
		return 0, nil
	}
	var out []inventory.Changed
	for _, s := range h.steps {
		out = append(out, s.changes...)
	}
	return h.steps[0].from, out
}
