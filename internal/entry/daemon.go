package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"syscall"

	"github.com/joomcode/errorx"
	"github.com/samber/do/v2"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/knapweedpoint/knapweedpoint/internal/accountquota"
	"github.com/knapweedpoint/knapweedpoint/internal/aggregator"
	"github.com/knapweedpoint/knapweedpoint/internal/aggregatorclient"
	"github.com/knapweedpoint/knapweedpoint/internal/assignment"
	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/crashguard"
	"github.com/knapweedpoint/knapweedpoint/internal/crashreport"
	"github.com/knapweedpoint/knapweedpoint/internal/dispatch"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/gossip"
	"github.com/knapweedpoint/knapweedpoint/internal/issuertable"
	"github.com/knapweedpoint/knapweedpoint/internal/noticelog"
	"github.com/knapweedpoint/knapweedpoint/internal/permitclient"
	"github.com/knapweedpoint/knapweedpoint/internal/permitissuer"
	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
	"github.com/knapweedpoint/knapweedpoint/internal/roster"
	"github.com/knapweedpoint/knapweedpoint/internal/stallhint"
	"github.com/knapweedpoint/knapweedpoint/internal/stopsignal"
	"github.com/knapweedpoint/knapweedpoint/internal/storesync"
	"github.com/knapweedpoint/knapweedpoint/internal/targetlimit"
	"github.com/knapweedpoint/knapweedpoint/internal/throttle"
	"github.com/knapweedpoint/knapweedpoint/internal/workers"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// reasonPanicked is the reason of the answer to a request whose handling panicked.
const reasonPanicked = "panicked"

// Daemon is one entry daemon.
type Daemon struct {
	options  Options
	injector do.Injector
	settings blackboard.Cell[settings.Entry]
	// reloads holds a request to read the settings, which may take long.
	reloads chan struct{}
	board   blackboard.Board

	sync             *syncComponents
	forwarder        *forward.Forwarder
	dispatcher       *dispatch.Dispatcher
	callers          CallerServer
	readiness        ReadinessServer
	peers            *internalServer
	metrics          *internalServer
	housekeeper      *housekeeper
	hints            *stallhint.Notifier
	guard            *crashguard.Guard
	crashes          *crashreport.Reporter
	limits           *targetlimit.Register
	permits          *permitclient.Client
	permitIssuer     *permitissuer.Issuer
	quota            *accountquota.Admission
	aggregator       *aggregator.Aggregator
	aggregatorClient *aggregatorclient.Client
	// assignments holds the table that assigns shards to aggregators.
	assignments blackboard.Cell[assignment.Table]
	// issuers holds the table that assigns the targets with rate limits and the accounts with quotas to issuers.
	issuers blackboard.Cell[issuertable.Table]
	// connectFailures limits how often a target that does not accept connections is logged and its idle connections closed.
	connectFailures throttle.Limiter
	// oversized limits how often oversized answers of a target are logged.
	oversized throttle.Limiter
	// brokenCalls limits how often calls without a complete answer are logged for a target.
	brokenCalls throttle.Limiter
	// suspicions limits how often the unconfirmed losses of a request that peers tell of are logged.
	suspicions throttle.Limiter
	// refusals limits the log to one line for each request that is refused because it crashes targets.
	refusals throttle.Limiter
	// trials limits how often it is logged that a search is sent to one shard first.
	trials throttle.Limiter
	// unreadableLimits limits how often rejected rate limits of a target are logged.
	unreadableLimits throttle.Limiter
	notices          noticelog.Logger
	// limitAnnouncements limits how often the rate limit of a target is announced to peers.
	limitAnnouncements throttle.Limiter

	group errgroup.Group
	// sends runs the sends to targets. They may outlive the request that started them, and shutdown does not wait for
	// them.
	sends workers.Pool
}

// syncComponents are the components that spread the platform state.
type syncComponents struct {
	syncer   *storesync.Syncer
	roster   *roster.Roster
	gossiper *gossip.Gossiper
	conn     net.PacketConn
}

// New returns a daemon that has not been started.
func New(o Options) (*Daemon, error) {
	d := &Daemon{options: o, reloads: make(chan struct{}, 1), limitAnnouncements: throttle.Limiter{Interval: announceInterval}}
	d.sends.OnPanic = d.panicked
	d.settings.Set(&o.Settings)
	d.board.SetPhase(blackboard.Starting{})
	d.injector = d.assemble()
	if err := d.resolve(); err != nil {
		return nil, errorx.Decorate(err, "assemble")
	}
	return d, nil
}

// panicked logs a panic in the handling of one message or call.
func (d *Daemon) panicked(value any, stack []byte) {
	events.WorkPanicked.Log(d.options.Log, zap.Any("panic", value), zap.ByteString("stack", stack))
}

// Settings returns the settings in force.
func (d *Daemon) Settings() settings.Entry { return *d.settings.Get() }

// State returns the daemon's copy of the published state.
func (d *Daemon) State() platformstate.State { return d.sync.syncer.State() }

// Ready reports whether the daemon accepts new callers: it has a configuration and was not told to stop.
func (d *Daemon) Ready() bool { return d.State().Configured() && !d.board.IsDraining() }

// Answer answers a request of a caller. If its handling panics, the outcome is unknown.
func (d *Daemon) Answer(ctx context.Context, q dispatch.CallerRequest) dispatch.Answer {
	var a dispatch.Answer = dispatch.Lost{Reason: reasonPanicked}
	workers.Protect(func() { a = d.dispatcher.Handle(ctx, q) }, d.panicked)
	return a
}

// Run serves until a signal to stop arrives and the requests in flight have ended. A SIGHUP reloads the settings.
func (d *Daemon) Run(signals <-chan os.Signal) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := d.Settings()
	events.Started.Log(d.options.Log, zap.String("availabilityZone", s.AvailabilityZone), zap.Bool("firstStart", s.FirstStart),
		zap.Strings("seeds", s.Seeds), zap.Any("rules", s.Rules))
	if err := d.listen(); err != nil {
		return err
	}
	d.group.Go(func() error { d.sync.gossiper.Receive(); return nil })
	d.group.Go(func() error { d.sync.gossiper.Run(ctx); return nil })
	d.group.Go(func() error { d.sync.syncer.Run(ctx); return nil })
	d.group.Go(func() error { d.housekeeper.Run(ctx); return nil })
	d.group.Go(func() error { return d.watchSettings(ctx) })
	d.board.SetPhase(blackboard.Serving{})
	receiver := stopsignal.Receiver{Signals: signals}
	sig, arrived := receiver.Receive()
	for ; sig == syscall.SIGHUP; sig, arrived = receiver.Receive() {
		d.requestReload()
	}
	d.group.Go(func() error { d.handleFurtherSignals(ctx, signals); return nil })
	d.drain(arrived)
	cancel()
	_ = d.sync.conn.Close()
	err := d.group.Wait()
	events.Stopped.Log(d.options.Log)
	return err
}

// listen opens the daemon's interfaces. The callers' interface is last, so that a daemon that accepts requests is
// complete.
func (d *Daemon) listen() error {
	s := d.Settings()
	for _, x := range []struct {
		address string
		serve   func(net.Listener) error
	}{
		{s.Peers, d.peers.Serve},
		{s.Metrics, d.metrics.Serve},
		{s.Readiness, d.readiness.Serve},
		{s.Callers, d.callers.Serve},
	} {
		l, err := net.Listen("tcp4", x.address)
		if err != nil {
			events.ListenerFailed.Log(d.options.Log, zap.String("address", x.address), zap.Error(err))
			return errorx.ExternalError.Wrap(err, "listen on %s", x.address)
		}
		d.group.Go(func() error { return d.serve(x.serve, l) })
	}
	return nil
}

func (d *Daemon) serve(serve func(net.Listener) error, l net.Listener) error {
	err := serve(l)
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	events.InterfaceFailed.Log(d.options.Log, zap.Stringer("address", l.Addr()), zap.Error(err))
	return errorx.ExternalError.Wrap(err, "serve %s", l.Addr())
}
