package entry

import (
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/forward"
)

// recordQueue logs and counts what happened in the call queue since the last sweep, if calls had to wait.
func (d *Daemon) recordQueue(u forward.QueueUsage) {
	d.options.Scope.Gauge("waitingCalls").Update(float64(u.Waiting))
	if u.Queued == 0 && u.Late == 0 && u.Evicted == 0 {
		return
	}
	d.options.Scope.Counter("queuedCalls").Inc(int64(u.Queued))
	for reason, n := range map[string]int{"late": u.Late, "evicted": u.Evicted} {
		d.options.Scope.Tagged(map[string]string{"reason": reason}).Counter("refusedCalls").Inc(int64(n))
	}
	events.CallsQueued.Log(d.options.Log, zap.Int("queued", u.Queued), zap.Int("released", u.Released), zap.Int("late", u.Late),
		zap.Int("evicted", u.Evicted), zap.Int("waiting", u.Waiting), zap.Int("services", u.Services), zap.String("longest", u.Longest))
}
