package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/targetnotice"
)

// storeSource is the source of a notice that was read in the platform's store.
const storeSource = "store"

// logNotice logs what an answer or an entry in the store changed about whether a target may be sent to.
func (d *Daemon) logNotice(t inventory.Target, source string, o targetnotice.Observation) {
	d.notices.Write(
		d.options.Log, t.ID, o,
		zap.String("target", t.ID), zap.String("service", t.Service), zap.Int64("born", t.StartMillis), zap.String("source", source),
	)
}

// markLeaving records the targets of which the store says that they are draining.
func (d *Daemon) markLeaving(after inventory.Inventory, now time.Time) {
	for _, t := range after.All() {
		if t.Draining {
			d.logNotice(t, storeSource, d.forwarder.Gate.MarkLeaving(t, now))
		}
	}
}
