package entry

import (
	"net"
	"time"

	"github.com/joomcode/errorx"
	"github.com/samber/do/v2"
	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/accountquota"
	"github.com/knapweedpoint/knapweedpoint/internal/aggregator"
	"github.com/knapweedpoint/knapweedpoint/internal/aggregatorclient"
	"github.com/knapweedpoint/knapweedpoint/internal/answermargin"
	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/crashguard"
	"github.com/knapweedpoint/knapweedpoint/internal/crashreport"
	"github.com/knapweedpoint/knapweedpoint/internal/dispatch"
	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/gossip"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/metrics"
	"github.com/knapweedpoint/knapweedpoint/internal/peercopy"
	"github.com/knapweedpoint/knapweedpoint/internal/permitclient"
	"github.com/knapweedpoint/knapweedpoint/internal/permitissuer"
	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
	"github.com/knapweedpoint/knapweedpoint/internal/retrybudget"
	"github.com/knapweedpoint/knapweedpoint/internal/roster"
	"github.com/knapweedpoint/knapweedpoint/internal/scatter"
	"github.com/knapweedpoint/knapweedpoint/internal/sendgate"
	"github.com/knapweedpoint/knapweedpoint/internal/shardload"
	"github.com/knapweedpoint/knapweedpoint/internal/split"
	"github.com/knapweedpoint/knapweedpoint/internal/stallhint"
	"github.com/knapweedpoint/knapweedpoint/internal/storesync"
	"github.com/knapweedpoint/knapweedpoint/internal/targetlimit"
	"github.com/knapweedpoint/knapweedpoint/internal/targetnotice"
	"github.com/knapweedpoint/knapweedpoint/internal/targetselect"
)

// thousandths of a core are the unit in which a VM's CPU capacity is sent to peers.
const thousandths = 1000

// assemble registers the constructors of all components. Each component is created when it is first needed.
func (d *Daemon) assemble() do.Injector {
	i := do.New()
	do.ProvideValue(i, &targetselect.Selector{
		AvailabilityZone: d.Settings().AvailabilityZone, LearnCapacity: d.Settings().Overload.LearnCapacity, CountsCancelled: d.countsCancelled,
	})
	do.ProvideValue(i, &sendgate.Gate{})
	do.ProvideValue(i, &retrybudget.Budget{Restarted: !d.Settings().FirstStart})
	do.ProvideValue(i, &split.Picker{})
	do.ProvideValue(i, &crashguard.Guard{})
	do.ProvideValue(i, &targetlimit.Register{})
	do.ProvideValue(i, &permitissuer.Issuer{Table: &d.issuers})
	do.ProvideValue(i, &blackboard.Cell[platformstate.State]{})
	do.Provide(i, d.newRoster)
	do.Provide(i, d.newGossiper)
	do.Provide(i, d.newSyncer)
	do.Provide(i, d.newPermitClient)
	do.Provide(i, d.newQuota)
	do.Provide(i, d.newForwarder)
	do.Provide(i, d.newAggregator)
	do.Provide(i, d.newAggregatorClient)
	do.Provide(i, d.newDispatcher)
	do.Provide(i, d.newHousekeeper)
	return i
}

// resolve creates the components that Run uses.
func (d *Daemon) resolve() error {
	syncer, err := do.Invoke[*syncComponents](d.injector)
	if err != nil {
		return err
	}
	d.sync = syncer
	d.guard = do.MustInvoke[*crashguard.Guard](d.injector)
	d.crashes = &crashreport.Reporter{
		Broadcast: syncer.gossiper.Broadcast,
		Members:   func() int { return len(syncer.roster.AliveNames(time.Now())) },
		Log:       d.options.Log,
	}
	d.limits = do.MustInvoke[*targetlimit.Register](d.injector)
	d.permitIssuer = do.MustInvoke[*permitissuer.Issuer](d.injector)
	d.permits = do.MustInvoke[*permitclient.Client](d.injector)
	d.quota = do.MustInvoke[*accountquota.Admission](d.injector)
	d.hints = &stallhint.Notifier{Broadcast: syncer.gossiper.Broadcast}
	d.forwarder = do.MustInvoke[*forward.Forwarder](d.injector)
	d.aggregator = do.MustInvoke[*aggregator.Aggregator](d.injector)
	d.aggregatorClient = do.MustInvoke[*aggregatorclient.Client](d.injector)
	d.dispatcher = do.MustInvoke[*dispatch.Dispatcher](d.injector)
	d.housekeeper = do.MustInvoke[*housekeeper](d.injector)
	d.callers = d.options.NewCallerServer(d.Answer)
	d.readiness = d.options.NewReadinessServer(d.Ready)
	d.peers = newServer(peercopy.NewHandler(syncer.syncer.Copy), d.options.RequestBudget)
	d.metrics = newServer(metrics.NewTextHandler(d.options.Reporter), d.options.RequestBudget)
	return nil
}

func (d *Daemon) newRoster(do.Injector) (*roster.Roster, error) {
	s := d.Settings()
	return roster.New(roster.Member{
		Name: s.Name, Address: s.Gossip, CopyAddress: s.Peers, AvailabilityZone: s.AvailabilityZone,
		Incarnation: uint64(time.Now().UnixMilli()), Capacity: uint32(s.Processor * thousandths),
	}), nil
}

func (d *Daemon) newGossiper(i do.Injector) (*gossip.Gossiper, error) {
	conn, err := net.ListenPacket("udp4", d.Settings().Gossip)
	if err != nil {
		return nil, errorx.ExternalError.Wrap(err, "listen on %s", d.Settings().Gossip)
	}
	return &gossip.Gossiper{
		Roster: do.MustInvoke[*roster.Roster](i), Conn: conn, Seeds: d.seeds, Receiver: d, Meter: d.options.Meter, Log: d.options.Log, OnPanic: d.panicked,
		Limits: d.gossipedLimits, Crashes: d.gossipedLosses,
		Advertised: func() (uint64, uint64, uint64) { return d.sync.syncer.Advertised() },
	}, nil
}

// seeds returns the datagram addresses of the other seeds, which use the same port as this daemon.
func (d *Daemon) seeds() []string {
	s := d.Settings()
	_, port, err := net.SplitHostPort(s.Gossip)
	if err != nil {
		return nil
	}
	var out []string
	for _, seed := range s.Seeds {
		host, _, err := net.SplitHostPort(seed)
		if err == nil && seed != s.Peers {
			out = append(out, net.JoinHostPort(host, port))
		}
	}
	return out
}

// copySeeds returns the addresses at which the other seeds serve copies.
func (d *Daemon) copySeeds() []string {
	s := d.Settings()
	return lo.Without(s.Seeds, s.Peers)
}

func (d *Daemon) newSyncer(i do.Injector) (*syncComponents, error) {
	g, err := do.Invoke[*gossip.Gossiper](i)
	if err != nil {
		return nil, err
	}
	r := do.MustInvoke[*roster.Roster](i)
	s := storesync.New(storesync.Options{
		Source:     d.options.Source,
		Peers:      peers{roster: r, gossiper: g, http: peercopy.NewHTTPClient(d.options.ReadBudget), meter: d.options.Meter, seeds: d.copySeeds},
		Copy:       do.MustInvoke[*blackboard.Cell[platformstate.State]](i),
		DrainBound: func() time.Duration { return d.Settings().Rules.DrainBound.Std() },
		FirstStart: d.Settings().FirstStart,
		OnChange:   d.stateChanged,
		// A new target may take calls that wait.
		AfterChange: func() { d.forwarder.TargetsChanged() },
		Log:         d.options.Log,
	})
	return &syncComponents{syncer: s, roster: r, gossiper: g, conn: g.Conn}, nil
}

func (d *Daemon) newPermitClient(i do.Injector) (*permitclient.Client, error) {
	return &permitclient.Client{
		Name:   d.Settings().Name,
		Limits: do.MustInvoke[*targetlimit.Register](i),
		Table:  &d.issuers,
		Issuer: do.MustInvoke[*permitissuer.Issuer](i),
		Send:   d.requestPermit,
		Scope:  d.options.Scope,
	}, nil
}

func (d *Daemon) newQuota(i do.Injector) (*accountquota.Admission, error) {
	return &accountquota.Admission{
		Name:    d.Settings().Name,
		Permits: do.MustInvoke[*permitclient.Client](i),
		Rules:   d.quotaRules,
		Known:   do.MustInvoke[*roster.Roster](i).RecentCount,
		Log:     d.options.Log,
		Scope:   d.options.Scope,
	}, nil
}

func (d *Daemon) newForwarder(i do.Injector) (*forward.Forwarder, error) {
	return &forward.Forwarder{
		Sender:         d.options.Sender,
		Selector:       do.MustInvoke[*targetselect.Selector](i),
		Gate:           do.MustInvoke[*sendgate.Gate](i),
		Budget:         do.MustInvoke[*retrybudget.Budget](i),
		Permits:        do.MustInvoke[*permitclient.Client](i),
		Inventory:      func() inventory.Inventory { return d.State().Inventory },
		Workers:        &d.sends,
		OnSend:         func(t inventory.Target, additional bool) { d.limits.CountSend(t.ID, additional) },
		Refuses:        d.refuses,
		OnResult:       d.observeResult,
		OnCancelled:    d.observeCancelled,
		OnNotice:       func(t inventory.Target, o targetnotice.Observation) { d.logNotice(t, answerSource, o) },
		OnUnresponsive: d.sendStallHint,
		QueueCalls:     d.queuesCalls,
	}, nil
}

func (d *Daemon) newAggregator(i do.Injector) (*aggregator.Aggregator, error) {
	return &aggregator.Aggregator{
		Name:        d.Settings().Name,
		Incarnation: func() uint64 { return do.MustInvoke[*roster.Roster](i).Self().Incarnation },
		Forwarder:   do.MustInvoke[*forward.Forwarder](i),
		Ready:       func() bool { return d.State().Configured() },
		Workers:     &d.sends,
		ReportLoads: d.reportsLoads,
		Scope:       d.options.Scope,
		Log:         d.options.Log,
	}, nil
}

func (d *Daemon) newAggregatorClient(i do.Injector) (*aggregatorclient.Client, error) {
	return &aggregatorclient.Client{
		Name: d.Settings().Name, AvailabilityZone: d.Settings().AvailabilityZone,
		Direct: scatter.Direct{Forwarder: do.MustInvoke[*forward.Forwarder](i)},
		Table:  &d.assignments,
		Peers:  aggregators{daemon: d},
		Loads:  &shardload.Register{},
		Scope:  d.options.Scope,
		Log:    d.options.Log,
	}, nil
}

func (d *Daemon) newDispatcher(i do.Injector) (*dispatch.Dispatcher, error) {
	f := do.MustInvoke[*forward.Forwarder](i)
	margin := answermargin.Estimate(d.Settings().Rules.CallerMargin.Std(), d.Settings().Processor)
	return &dispatch.Dispatcher{
		State:       d.State,
		Forwarder:   f,
		Gatherer:    &scatter.Gatherer{Runner: do.MustInvoke[*aggregatorclient.Client](i), Margin: margin, Refuses: d.refuses, UnansweredLosses: d.unansweredLosses, OmitsLateShards: d.omitsLateShards, RefusesLate: d.refusesLate, Scope: d.options.Scope},
		Splits:      do.MustInvoke[*split.Picker](i),
		Margin:      margin,
		Quota:       do.MustInvoke[*accountquota.Admission](i),
		RefusesLate: d.refusesLate,
		Log:         d.options.Log,
		Scope:       d.options.Scope,
	}, nil
}

// omitsLateShards reports whether searches leave out the shards that would answer late.
func (d *Daemon) omitsLateShards() bool { return d.Settings().Overload.OmitLateShards }

// refusesLate reports whether requests that are expected to end after their deadline are refused at once.
func (d *Daemon) refusesLate() bool { return d.Settings().Overload.RefuseLate }

// reportsLoads reports whether aggregators report the shards that would answer late.
func (d *Daemon) reportsLoads() bool { return d.omitsLateShards() || d.refusesLate() }

// countsCancelled reports whether late calls to a service that were cancelled count as samples of their targets' latency.
func (d *Daemon) countsCancelled(service string) bool {
	return d.reportsLoads() && d.usesAggregators(service)
}

// queuesCalls reports whether calls to a service wait while its targets are full. They do where aggregators see most of the
// calls to a target: where each daemon sees a few, calls wait for targets that have room.
func (d *Daemon) queuesCalls(service string) bool {
	return d.Settings().Overload.QueueCalls && d.usesAggregators(service)
}

func (d *Daemon) newHousekeeper(i do.Injector) (*housekeeper, error) {
	return &housekeeper{
		daemon:   d,
		selector: do.MustInvoke[*targetselect.Selector](i),
		gate:     do.MustInvoke[*sendgate.Gate](i),
		budget:   do.MustInvoke[*retrybudget.Budget](i),
		roster:   do.MustInvoke[*roster.Roster](i),
	}, nil
}
