package storesync

import (
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
)

const (
	// historyRetention is how long a change is included in pushes, so that a lost datagram does no harm. It covers two
	// reads of the store at a drain bound of 5 s.
	historyRetention = 3600 * time.Millisecond
	// maxCopyChanges limits the changes in a copy, at about 100 bytes each, and maxPushChanges those in a datagram. Peers
	// that lack more than a datagram holds fetch a copy: large datagrams to all peers at once would fill the link and be
	// lost.
	maxCopyChanges = 1200
	maxPushChanges = 200
)

// step holds the changes between two revisions.
type step struct {
	from, to uint64
	changes  []inventory.Change
	at       time.Time
}

// history holds the latest steps, oldest first. Its zero value is empty.
type history struct {
	steps []step
	// end is the revision after the last step.
	end uint64
}

// add appends a step. A step from revision 0, as the first read of an era makes, or one with too many changes clears the
// history: it is too long to send.
func (h *history) add(s step) {
	h.end = s.to
	if s.from == 0 || len(s.changes) > maxCopyChanges/2 {
		h.steps = nil
		return
	}
	h.steps = append(h.steps, s)
	n := lo.SumBy(h.steps, func(st step) int { return len(st.changes) })
	for len(h.steps) > 1 && (n > maxCopyChanges || s.at.Sub(h.steps[0].at) > historyRetention) {
		n -= len(h.steps[0].changes)
		h.steps = h.steps[1:]
	}
}

// recent returns the latest steps that fit into a datagram, and the revision after which they contain all changes.
func (h *history) recent() ([]step, uint64) {
	n, from := 0, h.end
	for i := len(h.steps) - 1; i >= 0; i-- {
		if n += len(h.steps[i].changes); n > maxPushChanges {
			return h.steps[i+1:], from
		}
		from = h.steps[i].from
	}
	return h.steps, from
}

// start returns the revision after which the history contains all changes.
func (h *history) start() uint64 {
	if len(h.steps) == 0 {
		return h.end
	}
	return h.steps[0].from
}
