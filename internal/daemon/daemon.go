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
	"github.com/knapweedpoint/knapweedpoint/internal/boundedhttp"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/heartbeat"
	"github.com/knapweedpoint/knapweedpoint/internal/membership"
	"github.com/knapweedpoint/knapweedpoint/internal/node"
	"github.com/knapweedpoint/knapweedpoint/internal/platformwatch"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

const (
	headerTimeout = 5 * time.Second
	idlePoll      = 20 * time.Millisecond
	// handOver is how long a stopping daemon still relays for peers that have not heard that it stops.
	handOver = time.Second
)

// Daemon is one entry daemon.
type Daemon struct {
	settings settings.Daemon
	log      *zap.Logger
	injector do.Injector
	node     *node.Node
	servers  []*http.Server
	group    errgroup.Group
}

// New returns a daemon that is assembled but not started.
func New(s settings.Daemon, log *zap.Logger) (*Daemon, error) {
	d := &Daemon{settings: s, log: log, injector: assemble(s, log)}
	n, err := do.Invoke[*node.Node](d.injector)
	if err != nil {
		return nil, errorx.Decorate(err, "assemble")
	}
	d.node = n
	return d, nil
}

// Run serves until a signal arrives and every request under way has ended.
func (d *Daemon) Run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	events.Started.Log(d.log, zap.String("availabilityZone", d.settings.AvailabilityZone))
	if err := d.listen(); err != nil {
		return err
	}
	watcher := do.MustInvoke[*platformwatch.Watcher](d.injector)
	heart := do.MustInvoke[*heartbeat.Heart](d.injector)
	d.group.Go(func() error { watcher.WatchList(ctx); return nil })
	d.group.Go(func() error { d.boot(ctx); watcher.WatchTree(ctx); return nil })
	d.group.Go(func() error { heart.Run(ctx); return nil })
	d.group.Go(func() error { d.becomeReady(ctx); return nil })
	<-signals
	d.group.Go(func() error { d.logSignals(ctx, signals); return nil })
	d.drain()
	cancel()
	err := d.group.Wait()
	do.MustInvoke[*meter](d.injector).close()
	events.Stopped.Log(d.log)
	return err
}

// listen opens the three interfaces; the callers' is last, so that a daemon that accepts is whole.
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
		s := &http.Server{Handler: x.handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: boundedhttp.MaxHead}
		d.servers = append(d.servers, s)
		d.group.Go(func() error { return serve(s, l) })
	}
	return nil
}

func serve(s *http.Server, l net.Listener) error {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errorx.ExternalError.Wrap(err, "serve %s", l.Addr())
	}
	return nil
}

// boot asks the other daemons for the configuration in force, in case the platform is stale.
func (d *Daemon) boot(ctx context.Context) {
	if !d.await(ctx, func() bool { return d.node.Board.View.Get().ListRevision > 0 }) {
		return
	}
	var asks errgroup.Group
	for _, m := range d.node.Board.View.Get().Peers() {
		if m.Leaving {
			continue
		}
		asks.Go(func() error { d.ask(ctx, m); return nil })
	}
	_ = asks.Wait()
}

func (d *Daemon) ask(ctx context.Context, m membership.Member) {
	d.node.Fetch(ctx, m.Name)
}

func (d *Daemon) becomeReady(ctx context.Context) {
	ready := d.await(ctx, func() bool {
		return d.node.Board.Tree.Get() != nil && d.node.Board.Confirmation.Get().Fresh(time.Now())
	})
	if ready && !d.node.Board.Drains() {
		d.node.Board.SetLife(blackboard.Serving{})
		events.Ready.Log(d.log, zap.Uint64("revision", d.node.Acceptor.Revision()))
	}
}

func (d *Daemon) await(ctx context.Context, done func() bool) bool {
	for ctx.Err() == nil {
		if done() {
			return true
		}
		time.Sleep(idlePoll)
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

// drain fails readiness, takes requests until the balancer has noticed, ends what is under way and stops listening.
func (d *Daemon) drain() {
	events.DrainStarted.Log(d.log)
	d.node.Drain()
	do.MustInvoke[*heartbeat.Heart](d.injector).Beat()
	limit, cancel := context.WithTimeout(context.Background(), d.settings.BalancerDelay.Std()+d.settings.DrainLimit.Std())
	defer cancel()
	time.Sleep(max(d.settings.BalancerDelay.Std(), handOver))
	callers, operators, peers := d.servers[2], d.servers[1], d.servers[0]
	overdue := callers.Shutdown(limit) != nil
	overdue = !d.await(limit, d.node.Relay.Idle) || overdue
	if overdue {
		events.DrainOverdue.Log(d.log)
	}
	_ = peers.Shutdown(limit)
	_ = operators.Shutdown(limit)
}
