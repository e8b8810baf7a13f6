package entry

import (
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/roster"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
	"github.com/knapweedpoint/knapweedpoint/internal/targetlimit"
)

const (
	// answerSource is the source of a rate limit or notice that this daemon received from the target itself.
	answerSource = "answer"
	// limitsPerRound is the number of rate limits in the datagrams of one gossip round, at about 40 bytes each.
	limitsPerRound = 16
	// retainEnded is how long gossip passes on that a target has no rate limit any more.
	retainEnded = 30 * time.Second
	// announceInterval is the minimum time between two announcements of one target's limit.
	announceInterval = 200 * time.Millisecond
	// announceFrom is the smallest change that is announced to all peers at once, as a share of the limit. Gossip passes
	// on smaller ones.
	announceFrom = 0.1
)

// observeLimit records what a result states about the rate limit of its target. Changes are announced to all peers,
// because the limit binds all daemons and most of them have not received such an answer.
func (d *Daemon) observeLimit(t inventory.Target, result targetcall.Result, startedAt, now time.Time) {
	o := d.limits.Observe(t, result, startedAt, now)
	d.logLimit(t.ID, answerSource, o, now)
	if x, changed := o.(targetlimit.Changed); changed && x.Notable(announceFrom) && d.limitAnnouncements.Allow(t.ID, now) {
		d.sync.gossiper.Broadcast(&gossippb.Datagram{Limits: []*gossippb.TargetLimit{encodeLimit(x.After, now)}})
	}
}

// mergeLimits records the rate limits in a peer's datagram.
func (d *Daemon) mergeLimits(from roster.Member, limits []*gossippb.TargetLimit, now time.Time) {
	for _, l := range limits {
		s := targetlimit.Statement{
			Target: l.GetTarget(), StartMillis: l.GetBorn(), PerSecond: l.GetPerSecond(),
			ObservedAt: now.Add(-time.Duration(l.GetAgeMillis()) * time.Millisecond),
		}
		d.logLimit(s.Target, from.Name, d.limits.Merge(s), now)
	}
}

// gossipedLimits returns some of the rate limits in force and of those that ended a short while ago.
func (d *Daemon) gossipedLimits() []*gossippb.TargetLimit {
	now := time.Now()
	known := lo.Samples(d.limits.Statements(now.Add(-retainEnded)), limitsPerRound)
	return lo.Map(known, func(s targetlimit.Statement, _ int) *gossippb.TargetLimit { return encodeLimit(s, now) })
}

func encodeLimit(s targetlimit.Statement, now time.Time) *gossippb.TargetLimit {
	return &gossippb.TargetLimit{
		Target: s.Target, Born: s.StartMillis, PerSecond: s.PerSecond, AgeMillis: uint32(now.Sub(s.ObservedAt).Milliseconds()),
	}
}

// knownLimit returns what this daemon knows of the rate limit of a target, for a message about its permits.
func (d *Daemon) knownLimit(target string) []*gossippb.TargetLimit {
	s, ok := d.limits.Find(target)
	if !ok {
		return nil
	}
	return []*gossippb.TargetLimit{encodeLimit(s, time.Now())}
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
