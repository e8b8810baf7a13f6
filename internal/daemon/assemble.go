package daemon

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/samber/do/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/burn"
	"github.com/knapweedpoint/knapweedpoint/internal/callerapi"
	"github.com/knapweedpoint/knapweedpoint/internal/heartbeat"
	"github.com/knapweedpoint/knapweedpoint/internal/metrics"
	"github.com/knapweedpoint/knapweedpoint/internal/node"
	"github.com/knapweedpoint/knapweedpoint/internal/operatorapi"
	"github.com/knapweedpoint/knapweedpoint/internal/peer"
	"github.com/knapweedpoint/knapweedpoint/internal/peerapi"
	"github.com/knapweedpoint/knapweedpoint/internal/platformwatch"
	"github.com/knapweedpoint/knapweedpoint/internal/policy"
	"github.com/knapweedpoint/knapweedpoint/internal/root"
	"github.com/knapweedpoint/knapweedpoint/pkg/caller"
	"github.com/knapweedpoint/knapweedpoint/pkg/outcome"
	"github.com/knapweedpoint/knapweedpoint/pkg/platform"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
	"github.com/knapweedpoint/knapweedpoint/pkg/target"
)

// targetConnections is the size of a relay's connection pool for one target. Targets have fewer slots than that.
const targetConnections = 8

// meter bundles the tally scope of the daemon with its reporter.
type meter struct {
	scope    tally.Scope
	reporter *metrics.Reporter
	close    func()
}

// handlers holds the handlers of the daemon's three HTTP interfaces.
type handlers struct {
	callers, peers, operators http.Handler
}

// assemble registers the constructors of all components. The injector calls each one on first use.
func assemble(s settings.Daemon, log *zap.Logger) do.Injector {
	i := do.New()
	do.ProvideValue(i, s)
	do.ProvideValue(i, log)
	do.Provide(i, newMeter)
	do.Provide(i, func(do.Injector) (*burn.Ledger, error) { return &burn.Ledger{}, nil })
	do.Provide(i, newNode)
	do.Provide(i, newWatcher)
	do.Provide(i, newHeartbeatSender)
	do.Provide(i, newHandlers)
	return i
}

func newMeter(i do.Injector) (*meter, error) {
	s := do.MustInvoke[settings.Daemon](i)
	scope, reporter, closer := metrics.NewScope(map[string]string{"vm": s.Name})
	return &meter{scope: scope, reporter: reporter, close: closer}, nil
}

func newNode(i do.Injector) (*node.Node, error) {
	s := do.MustInvoke[settings.Daemon](i)
	p, err := policy.Parse(s.Policy)
	if err != nil {
		return nil, err
	}
	seed := s.Seed
	if seed == 0 {
		seed = xxhash.Sum64String(fmt.Sprint(s.Name, time.Now().UnixNano()))
	}
	n := node.New(node.Options{
		Name: s.Name, Incarnation: uuid.NewString(), Seed: seed, Policy: p,
		Runner: &target.Client{Connections: targetConnections}, Exchanger: &peer.Client{},
		BookingMargin: s.BookingMargin.Std(), Log: do.MustInvoke[*zap.Logger](i),
	})
	n.Root.Gate.Limit = s.InFlightLimit
	n.Root.OnAnswer = recordAnswer(n, do.MustInvoke[*meter](i).scope, do.MustInvoke[*burn.Ledger](i))
	return n, nil
}

// recordAnswer returns a function that records each answer in the metrics and in the burn ledger.
func recordAnswer(n *node.Node, scope tally.Scope, ledger *burn.Ledger) func(root.Question, caller.Answer, time.Duration) {
	return func(q root.Question, a caller.Answer, took time.Duration) {
		tree := n.Board.Tree.Get()
		if tree == nil {
			return
		}
		team, ok := tree.Teams[q.Team]
		if !ok || a.Reason == caller.ReasonUnknownGroup {
			return
		}
		tagged := scope.Tagged(map[string]string{"team": q.Team, "group": q.Group, "outcome": a.Outcome})
		tagged.Counter("answers").Inc(1)
		tagged.Timer("latency").Record(took)
		ledger.Add(burn.Sample{
			Team: q.Team, Group: q.Group, Worth: team.Worth,
			Answered: a.Outcome == outcome.Done{}.Label(),
			Covered:  a.Coverage == nil || a.Coverage.Share >= team.Objective.Coverage,
			InTime:   took <= team.Objective.Latency.Std(),
		}, time.Now())
	}
}

func newWatcher(i do.Injector) (*platformwatch.Watcher, error) {
	n := do.MustInvoke[*node.Node](i)
	return &platformwatch.Watcher{
		Source:   platform.NewClient(do.MustInvoke[settings.Daemon](i).Platform),
		Receiver: n, Acceptor: n.Acceptor, Log: do.MustInvoke[*zap.Logger](i),
	}, nil
}

func newHeartbeatSender(i do.Injector) (*heartbeat.Sender, error) {
	n := do.MustInvoke[*node.Node](i)
	scope := do.MustInvoke[*meter](i).scope
	cutOff := cutOffLogger{node: n, log: do.MustInvoke[*zap.Logger](i)}
	return &heartbeat.Sender{
		Board: n.Board, Outboxes: n.Outboxes, Confirm: n.ConfirmByMajority,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		OnHeartbeat: func() {
			n.Relay.Expire()
			cutOff.check()
			updateGauges(scope, n)
		},
	}, nil
}

func updateGauges(scope tally.Scope, n *node.Node) {
	first, extra := n.Root.Budget.Counts()
	scope.Gauge("firstSends").Update(float64(first))
	scope.Gauge("extraSends").Update(float64(extra))
	scope.Gauge("targetRequests").Update(float64(n.Relay.Sends()))
	scope.Gauge("inFlight").Update(float64(n.Root.Gate.InFlight()))
	scope.Gauge("suspects").Update(float64(n.Register.Len()))
	scope.Gauge("bookingKeys").Update(float64(n.Bookings()))
	leaving, holding := n.Relay.LeftOut()
	for reason, count := range map[string]int{"leaving": leaving, "holdsOff": holding} {
		scope.Tagged(map[string]string{"reason": reason}).Gauge("targetsLeftOut").Update(float64(count))
	}
	scope.Gauge("configurationRevision").Update(float64(n.Acceptor.Revision()))
}

func newHandlers(i do.Injector) (*handlers, error) {
	n := do.MustInvoke[*node.Node](i)
	return &handlers{
		callers: callerapi.NewHandler(n.Root),
		peers:   peerapi.NewServer(n),
		operators: &operatorapi.Handler{
			Node: n, Zone: do.MustInvoke[settings.Daemon](i).AvailabilityZone,
			Ledger: do.MustInvoke[*burn.Ledger](i), Reporter: do.MustInvoke[*meter](i).reporter,
		},
	}, nil
}
