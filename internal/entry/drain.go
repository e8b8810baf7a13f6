package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
)

// Shares of the grace period of a stopping daemon. The load balancer detects unreadiness after two failed checks, one
// per second, and may keep sending requests when few daemons of a zone are left.
const (
	// serveShare is the share for which the daemon continues to accept requests.
	serveShare = 0.62
	// exitShare is the share after which the daemon exits even if requests are still in flight.
	exitShare = 0.9
)

// drain fails the readiness checks, serves until the load balancer has detected it, waits for requests in flight and
// closes the listeners.
func (d *Daemon) drain() {
	began := time.Now()
	grace := d.Settings().Rules.Grace.Std()
	events.DrainStarted.Log(d.options.Log, zap.Duration("grace", grace))
	d.board.SetPhase(blackboard.Draining{})
	d.sync.gossiper.Leave()
	d.callers.Drain()
	time.Sleep(time.Duration(serveShare * float64(grace)))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(time.Duration(exitShare*float64(grace))))
	defer cancel()
	events.ListenerClosed.Log(d.options.Log, d.unfinished()...)
	if err := d.callers.Shutdown(ctx); err != nil {
		events.DrainOverdue.Log(d.options.Log, append(d.unfinished(), zap.Error(err))...)
	}
	for _, stop := range []func(context.Context) error{d.readiness.Shutdown, d.peers.Shutdown, d.metrics.Shutdown} {
		if err := stop(ctx); err != nil {
			events.InterfaceFailed.Log(d.options.Log, zap.Error(err))
		}
	}
}

// unfinished returns the log fields that describe the callers' connections and the requests in flight.
func (d *Daemon) unfinished() []zap.Field {
	return []zap.Field{zap.Any("connections", d.callers.Connections()), zap.Array("inFlight", &d.dispatcher.InFlight)}
}
