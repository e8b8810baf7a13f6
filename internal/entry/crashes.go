package entry

import (
	"time"

	"github.com/joomcode/errorx"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/allowance"
	"github.com/knapweedpoint/knapweedpoint/internal/crashguard"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/gossippb"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

// reported learns from how a send ended.
func (d *Daemon) reported(r targetcall.Request, t inventory.Target, result targetcall.Result) {
	now := time.Now()
	switch x := result.(type) {
	case targetcall.Answered:
		d.guard.Answered(crashguard.Fingerprint(r), now)
	case targetcall.Unknown:
		d.noteOverlong(t, x.Err, now)
		d.guard.Broken(t.ID, crashguard.Loss{Fingerprint: crashguard.Fingerprint(r), Attempt: r.ID}, now)
	case targetcall.NotSent:
		if x.Down {
			d.noteDown(t, x.Err, now)
		}
	case targetcall.Refused:
	}
}

// noteOverlong logs an answer that was longer than it may be, once in a while for each target.
func (d *Daemon) noteOverlong(t inventory.Target, err error, now time.Time) {
	if errorx.IsOfType(err, allowance.ErrOverlong) && d.overlong.Due(t.ID, now) {
		events.AnswerOverlong.Log(d.o.Log, zap.String("target", t.ID), zap.String("service", t.Service), zap.Error(err))
	}
}

// noteDown acts on a target that did not accept a connection, once in a while for each target.
func (d *Daemon) noteDown(t inventory.Target, err error, now time.Time) {
	if !d.downs.Due(t.ID, now) {
		return
	}
	events.TargetDown.Log(d.o.Log, zap.String("target", t.ID), zap.String("service", t.Service), zap.Error(err))
	d.o.Pool.Forget(t.ID)
	d.lost(t, now)
}

// lost notes that a target has ended, and tells peers of the requests that it ran then.
func (d *Daemon) lost(t inventory.Target, now time.Time) {
	losses := d.guard.Lost(t.ID, now)
	if len(losses) == 0 {
		return
	}
	for _, l := range losses {
		events.RequestSuspect.Log(d.o.Log, zap.Uint64("fingerprint", l.Fingerprint),
			zap.String("request", l.Attempt), zap.String("target", t.ID))
	}
	d.syncer.gossiper.Broadcast(&gossippb.Datagram{Crashes: lo.Map(losses, func(l crashguard.Loss, _ int) *gossippb.Crash {
		return &gossippb.Crash{Fingerprint: l.Fingerprint, Attempt: l.Attempt}
	})})
}

// refuses reports whether a request has crashed its targets again and again.
func (d *Daemon) refuses(r targetcall.Request) bool {
	f := crashguard.Fingerprint(r)
	if !d.guard.Refuses(f, time.Now()) {
		return false
	}
	events.RequestCrashes.Log(d.o.Log, zap.String("request", r.ID), zap.Uint64("fingerprint", f))
	return true
}
