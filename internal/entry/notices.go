package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/targetnotice"
)

const (
	// storeSource is the source of a notice that was read in the platform's store.
	storeSource = "store"
	// holdLogInterval is the minimum time between two events of the same kind about one target's holds, which may be
	// short and many.
	holdLogInterval = time.Second
)

// logNotice logs what an answer or an entry in the store changed about whether a target may be sent to.
func (d *Daemon) logNotice(t inventory.Target, source string, o targetnotice.Observation) {
	now := time.Now()
	fields := []zap.Field{
		zap.String("target", t.ID), zap.String("service", t.Service), zap.Int64("born", t.StartMillis), zap.String("source", source),
	}
	logHold := func(e events.Event, more ...zap.Field) {
		if d.holdLogs.Allow(e.Name+t.ID, now) {
			e.Log(d.options.Log, append(fields, more...)...)
		}
	}
	switch x := o.(type) {
	case targetnotice.LeavingBegun:
		events.TargetLeaving.Log(d.options.Log, fields...)
	case targetnotice.HoldBegun:
		logHold(events.TargetHoldsOff, zap.Time("until", x.Until), zap.Bool("again", false))
	case targetnotice.HoldExtended:
		logHold(events.TargetHoldsOff, zap.Time("until", x.Until), zap.Bool("again", true))
	case targetnotice.HoldEnded:
		logHold(events.TargetUsedAgain)
	case targetnotice.LeavingRevoked:
		events.TargetUsedAgain.Log(d.options.Log, fields...)
	case targetnotice.Rejected:
		logHold(events.HoldUnreadable, zap.String("text", x.Text))
	case targetnotice.Unchanged:
	}
}

// markLeaving records the targets of which the store says that they are draining.
func (d *Daemon) markLeaving(after inventory.Inventory, now time.Time) {
	for _, t := range after.All() {
		if t.Draining {
			d.logNotice(t, storeSource, d.forwarder.Gate.MarkLeaving(t, now))
		}
	}
}
