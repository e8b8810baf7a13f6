package noticelog

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/targetnotice"
	"github.com/knapweedpoint/knapweedpoint/internal/throttle"
)

// holdInterval is the minimum time between two events of the same kind about one target's holds, which may be short and
// many.
const holdInterval = time.Second

// Logger logs changes of whether targets may be sent to; its zero value is ready to use.
type Logger struct {
	once  sync.Once
	holds throttle.Limiter
}

// Write logs an observation of the target's notices.
func (l *Logger) Write(log *zap.Logger, target string, o targetnotice.Observation, fields ...zap.Field) {
	l.once.Do(func() { l.holds.Interval = holdInterval })
	now := time.Now()
	logHold := func(e events.Event, more ...zap.Field) {
		if l.holds.Allow(e.Name+target, now) {
			e.Log(log, append(fields[:len(fields):len(fields)], more...)...)
		}
	}
	switch x := o.(type) {
	case targetnotice.LeavingBegun:
		events.TargetLeaving.Log(log, fields...)
	case targetnotice.HoldBegun:
		logHold(events.TargetHoldsOff, zap.Time("until", x.Until), zap.Bool("again", false))
	case targetnotice.HoldExtended:
		logHold(events.TargetHoldsOff, zap.Time("until", x.Until), zap.Bool("again", true))
	case targetnotice.HoldEnded:
		logHold(events.TargetUsedAgain)
	case targetnotice.LeavingRevoked, targetnotice.Replaced:
		events.TargetUsedAgain.Log(log, fields...)
	case targetnotice.Rejected:
		logHold(events.HoldUnreadable, zap.String("text", x.Text))
	case targetnotice.Unchanged:
	}
}
