package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/joomcode/errorx"
	"github.com/samber/do/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/heartbeat"
	"github.com/knapweedpoint/knapweedpoint/internal/membership"
	"github.com/knapweedpoint/knapweedpoint/internal/node"
	"github.com/knapweedpoint/knapweedpoint/internal/platformwatch"
	"github.com/knapweedpoint/knapweedpoint/internal/stopsignal"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

const (
	headerTimeout = 5 * time.Second
	pollInterval  = 20 * time.Millisecond
	// drainNotifyDelay is the minimum time for which a stopping daemon still relays for peers that have not yet received its
	// draining state.
	drainNotifyDelay = time.Second
	// answerTime is how long before the end of the drain limit the last answers are given, at most a share of
	// 1/answerDivisor of the limit. net/http takes half of it to close a connection with unread bytes; the rest is for
	// writing on a busy machine.
	answerTime    = time.Second
	answerDivisor = 4
)

// Daemon is one entry daemon.
type Daemon struct {
	settings settings.Daemon
	log      *zap.Logger
	injector do.Injector
	node     *node.Node
	servers  []*server
	group    errgroup.Group
}

// New assembles a daemon. Run starts it.
func New(s settings.Daemon, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, log: log, injector: assemble(s, log)}
	n, err := do.Invoke[*node.Node](d.injector)
	if err != nil {
		return nil, errorx.Decorate(err, "assemble")
	}
	d.node = n
	return d, nil
}

// Run serves until a signal arrives, then drains the daemon and returns.
func (d *Daemon) Run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	events.Started.Log(d.log, zap.String("availabilityZone", d.settings.AvailabilityZone))
	if err := d.listen(); err != nil {
		return err
	}
	watcher := do.MustInvoke[*platformwatch.Watcher](d.injector)
	sender := do.MustInvoke[*heartbeat.Sender](d.injector)
	d.group.Go(func() error { watcher.WatchList(ctx); return nil })
	d.group.Go(func() error { d.fetchFromPeers(ctx); watcher.WatchTree(ctx); return nil })
	d.group.Go(func() error { sender.Run(ctx); return nil })
	d.group.Go(func() error { d.becomeReady(ctx); return nil })
	receiver := stopsignal.Receiver{Signals: signals}
	_, arrived := receiver.Receive()
	d.group.Go(func() error { d.logSignals(ctx, signals); return nil })
	d.drain(arrived)
	cancel()
	err := d.group.Wait()
	do.MustInvoke[*meter](d.injector).close()
	events.Stopped.Log(d.log)
	return err
}

// listen opens the three HTTP interfaces. The one for callers comes last, so that a daemon that accepts callers is complete.
func (d *Daemon) listen() error {
	h, err := do.Invoke[*handlers](d.injector)
	if err != nil {
		return errorx.Decorate(err, "assemble")
	}
	for _, x := range []struct {
		address string
		handler http.Handler
	}{{d.settings.Peers, h.peers}, {d.settings.Operators, h.operators}, {d.settings.Callers, h.callers}} {
		l, err := net.Listen("tcp", x.address)
		if err != nil {
			events.ListenerFailed.Log(d.log, zap.String("address", x.address), zap.Error(err))
			return errorx.ExternalError.Wrap(err, "listen on %s", x.address)
		}
		s := newServer(x.handler)
		d.servers = append(d.servers, s)
		d.group.Go(func() error { return s.serve(l) })
	}
	return nil
}

// fetchFromPeers fetches the configuration in force from the other daemons, in case the platform serves a stale one.
func (d *Daemon) fetchFromPeers(ctx context.Context) {
	if !d.waitUntil(ctx, func() bool { return d.node.Board.View.Get().ListRevision > 0 }) {
		return
	}
	var fetches errgroup.Group
	for _, m := range d.node.Board.View.Get().Peers() {
		if m.Leaving {
			continue
		}
		fetches.Go(func() error { d.fetch(ctx, m); return nil })
	}
	_ = fetches.Wait()
}

func (d *Daemon) fetch(ctx context.Context, m membership.Member) {
	d.node.Fetch(ctx, m.Name)
}

// becomeReady starts service once the daemon has a configuration that is confirmed to be current.
func (d *Daemon) becomeReady(ctx context.Context) {
	ready := d.waitUntil(ctx, func() bool {
		return d.node.Board.Tree.Get() != nil && d.node.Board.Confirmation.Get().Fresh(time.Now())
	})
	if !ready {
		return
	}
	d.node.Board.SetPhase(blackboard.Serving{})
	if !d.node.Board.IsDraining() {
		events.Ready.Log(d.log, zap.Uint64("revision", d.node.Acceptor.Revision()))
	}
}

// waitUntil polls the condition. It reports false when ctx ends first.
func (d *Daemon) waitUntil(ctx context.Context, condition func() bool) bool {
	for ctx.Err() == nil {
		if condition() {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}

func (d *Daemon) logSignals(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-signals:
			events.SecondSignal.Log(d.log)
		case <-ctx.Done():
			return
		}
	}
}

// drain fails the readiness check and accepts every request for the time that the load balancer needs to notice. After that it
// accepts requests that can end in time, answers all shortly before the drain limit, and stops listening. The signal to stop may
// have arrived at the given time; at most half of the time for the stop is taken to have passed.
func (d *Daemon) drain(arrived time.Time) {
	delay, drainLimit := max(d.settings.BalancerDelay.Std(), drainNotifyDelay), d.settings.DrainLimit.Std()
	late := min(time.Since(arrived), (delay+drainLimit)/2)
	acceptUntil := time.Now().Add(delay - late)
	end := acceptUntil.Add(drainLimit)
	margin := min(answerTime, drainLimit/answerDivisor)
	answerBy := end.Add(-margin)
	callers, operators, peers := d.servers[2], d.servers[1], d.servers[0]
	callers.closing.Store(true)
	d.node.Root.Stop.Set(acceptUntil, answerBy)
	events.DrainStarted.Log(d.log, zap.Duration("late", late))
	d.node.Drain()
	do.MustInvoke[*heartbeat.Sender](d.injector).Send()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// A process that got no processor time until the end still has time to write the answers, and one whose signal was not
	// late has the usual time.
	time.AfterFunc(time.Until(answerBy), func() { time.AfterFunc(margin+late, cancel) })
	time.Sleep(time.Until(acceptUntil))
	err := callers.stop(ctx, answerBy)
	err = errors.Join(err, d.waitUntilIdle(ctx, d.node.Idle))
	// Until its end, the interface for peers accepts work.
	err = errors.Join(err, peers.stop(ctx, end), d.waitUntilIdle(ctx, d.node.Idle))
	err = errors.Join(err, d.waitUntilIdle(ctx, d.node.Outboxes.Idle), operators.stop(ctx, end))
	if err != nil {
		events.DrainOverdue.Log(d.log, zap.Error(err))
	}
}

func (d *Daemon) waitUntilIdle(ctx context.Context, idle func() bool) error {
	if d.waitUntil(ctx, idle) {
		return nil
	}
	return ctx.Err()
}
