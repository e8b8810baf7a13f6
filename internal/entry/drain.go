package entry

import (
	"context"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
)

// drain fails the readiness checks, serves until the load balancer has detected it, and answers what was taken before
// it returns. The signal to stop may have arrived at the given time; at most half of the grace period is taken to have
// passed.
func (d *Daemon) drain(arrived time.Time) {
	period := &d.dispatcher.Grace
	length := d.Settings().Rules.Grace.Std()
	late := min(time.Since(arrived), length/2)
	events.DrainStarted.Log(d.options.Log, zap.Duration("grace", length), zap.Duration("late", late))
	d.callers.Drain()
	period.Begin(time.Now().Add(-late), late, length)
	d.board.SetPhase(blackboard.Draining{})
	d.aggregator.Drain(period.AbandonAt())
	d.sync.gossiper.Leave()
	time.Sleep(time.Until(period.CloseAt()))
	ctx, cancel := context.WithDeadline(context.Background(), period.ExitAt())
	defer cancel()
	events.ListenerClosed.Log(d.options.Log, d.unfinished()...)
	if err := d.callers.Shutdown(ctx, period.AbandonAt()); err != nil {
		events.DrainOverdue.Log(d.options.Log, zap.Array("inFlight", &d.dispatcher.InFlight), zap.Error(err))
	}
	d.endOthers(period.AbandonAt())
}

// endOthers ends what serves the other daemons, the load balancer and the operators, at the given time at the latest.
// Calls of other daemons that have not ended by then are told which shards are lost.
func (d *Daemon) endOthers(until time.Time) {
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	if err := d.aggregator.Shutdown(ctx); err != nil {
		events.DrainOverdue.Log(d.options.Log, zap.String("calls", "of other daemons"), zap.Error(err))
	}
	var servers errgroup.Group
	for _, stop := range []func(context.Context) error{d.readiness.Shutdown, d.peers.Shutdown, d.metrics.Shutdown} {
		servers.Go(func() error {
			if err := stop(ctx); err != nil {
				events.InterfaceFailed.Log(d.options.Log, zap.Error(err))
			}
			return nil
		})
	}
	_ = servers.Wait()
}

// handleFurtherSignals handles the signals that arrive during a stop. A further signal to stop changes nothing, nor does
// a new grace period.
func (d *Daemon) handleFurtherSignals(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case sig := <-signals:
			if sig == syscall.SIGHUP {
				d.requestReload()
				continue
			}
			events.SecondSignal.Log(d.options.Log, zap.Stringer("signal", sig))
		case <-ctx.Done():
			return
		}
	}
}

// unfinished returns the log fields that describe the callers' connections and the requests in flight.
func (d *Daemon) unfinished() []zap.Field {
	return []zap.Field{zap.Any("connections", d.callers.Connections()), zap.Array("inFlight", &d.dispatcher.InFlight)}
}
