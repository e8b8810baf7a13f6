package entry

import (
	"time"

	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
	"github.com/knapweedpoint/knapweedpoint/internal/targetlimit"
)

// answerSource is the source of a rate limit that this daemon received from the target itself.
const answerSource = "answer"

// observeLimit records what a result states about the rate limit of its target.
func (d *Daemon) observeLimit(t inventory.Target, result targetcall.Result, startedAt, now time.Time) {
	d.logLimit(t.ID, answerSource, d.limits.Observe(t, result, startedAt, now), now)
}

// logLimit logs a changed or rejected rate limit.
func (d *Daemon) logLimit(target, source string, o targetlimit.Observation, now time.Time) {
	switch x := o.(type) {
	case targetlimit.Changed:
		event := events.TargetLimited
		if !x.After.Limited() {
			event = events.TargetUnlimited
		}
		event.Log(d.options.Log, zap.String("target", target), zap.Float64("perSecond", x.After.PerSecond),
			zap.Float64("before", x.Before.PerSecond), zap.String("source", source))
	case targetlimit.Rejected:
		if d.unreadableLimits.Allow(target, now) {
			events.LimitUnreadable.Log(d.options.Log, zap.String("target", target), zap.String("text", x.Text), zap.String("source", source))
		}
	case targetlimit.Unchanged:
	}
}

// logLimitedSends logs how often this daemon sent to each target that has a rate limit.
func (d *Daemon) logLimitedSends() {
	for _, u := range d.limits.TakeUsage() {
		events.LimitedSends.Log(d.options.Log, zap.String("target", u.Target), zap.Float64("perSecond", u.PerSecond),
			zap.Int("first", u.First), zap.Int("additional", u.Additional))
	}
}
