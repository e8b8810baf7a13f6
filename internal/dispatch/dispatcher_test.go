package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/knapweedpoint/knapweedpoint/internal/account"
	"github.com/knapweedpoint/knapweedpoint/internal/accountquota"
	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/crashguard"
	"github.com/knapweedpoint/knapweedpoint/internal/dispatch"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/forward"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/issuertable"
	"github.com/knapweedpoint/knapweedpoint/internal/operatorstate"
	"github.com/knapweedpoint/knapweedpoint/internal/permit"
	"github.com/knapweedpoint/knapweedpoint/internal/permitclient"
	"github.com/knapweedpoint/knapweedpoint/internal/permitissuer"
	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
	"github.com/knapweedpoint/knapweedpoint/internal/retrybudget"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
	"github.com/knapweedpoint/knapweedpoint/internal/scatter"
	"github.com/knapweedpoint/knapweedpoint/internal/scriptedtarget"
	"github.com/knapweedpoint/knapweedpoint/internal/sendgate"
	"github.com/knapweedpoint/knapweedpoint/internal/split"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
	"github.com/knapweedpoint/knapweedpoint/internal/targetselect"
	"github.com/knapweedpoint/knapweedpoint/internal/workers"
)

type fixture struct {
	dispatcher *dispatch.Dispatcher
	cell       blackboard.Cell[platformstate.State]
	pool       workers.Pool
	sender     *scriptedtarget.Sender
}

func newFixture(b scriptedtarget.Behaviour) *fixture {
	x := &fixture{sender: &scriptedtarget.Sender{Behave: func(string, int) scriptedtarget.Behaviour { return b }}}
	state := func() platformstate.State {
		if p := x.cell.Get(); p != nil {
			return *p
		}
		return platformstate.State{}
	}
	f := &forward.Forwarder{
		Sender: x.sender, Selector: &targetselect.Selector{},
		Gate: &sendgate.Gate{}, Budget: &retrybudget.Budget{}, Workers: &x.pool,
		Inventory: func() inventory.Inventory { return state().Inventory },
		Refuses: func(r targetcall.Request, _ string) (time.Duration, bool) {
			return crashguard.SuspicionTTL, r.Path == "/one/crashes"
		},
	}
	x.dispatcher = &dispatch.Dispatcher{
		State: state, Forwarder: f, Gatherer: &scatter.Gatherer{Runner: scatter.Direct{Forwarder: f}}, Splits: &split.Picker{}, Margin: 10 * time.Millisecond,
	}
	return x
}

// configure publishes a route table with one route of each kind.
func (x *fixture) configure() {
	route := func(prefix string, d routetable.Destination) routetable.Route {
		return routetable.Route{Name: prefix, Host: "h", Prefix: prefix, Attempts: 1, Timeout: time.Second, Objective: 100 * time.Millisecond, Destination: d}
	}
	table := routetable.New(1, []routetable.Route{
		route("/one/", routetable.Single{Service: "s"}),
		route("/split/", routetable.Split{WeightedServices: []routetable.Weighted{{Service: "s", Weight: 1}}}),
		route("/nowhere/", routetable.Split{}),
		route("/all/", routetable.Scatter{Shards: []string{"s"}, TopK: 5, MinCoverage: 1}),
	}, nil, routetable.Limits{})
	x.cell.Set(&platformstate.State{
		Inventory:     inventory.New(1, []inventory.Target{{ID: "t", Service: "s"}}),
		OperatorState: operatorstate.State{Table: table},
	})
}

func (x *fixture) send(path string, deadline time.Duration) dispatch.Answer {
	return x.dispatcher.Handle(context.Background(), dispatch.CallerRequest{
		Request: targetcall.Request{ID: "r", Method: "GET", Host: "h", Path: path}, Deadline: deadline, ReceivedAt: time.Now(),
	})
}

func TestAnswersByRoute(t *testing.T) {
	unsigned := targetcall.Answered{Status: 500}
	unavailable := targetcall.Answered{Status: 503, Signature: "s"}
	for _, c := range []struct {
		name   string
		path   string
		target scriptedtarget.Behaviour
		want   dispatch.Answer
	}{
		{"no route", "/other/1", scriptedtarget.Behaviour{}, dispatch.NoRoute{}},
		{"one service", "/one/1", scriptedtarget.Behaviour{}, dispatch.Forwarded{Answer: scriptedtarget.Success("t")}},
		{"split", "/split/1", scriptedtarget.Behaviour{}, dispatch.Forwarded{Answer: scriptedtarget.Success("t")}},
		{"split without weights", "/nowhere/1", scriptedtarget.Behaviour{}, dispatch.NotRun{Reason: dispatch.ReasonNoService, RetryAfter: 500 * time.Millisecond}},
		{"failure of the target with a signature", "/one/1", scriptedtarget.Behaviour{Result: scriptedtarget.Failure("t")}, dispatch.Forwarded{Answer: scriptedtarget.Failure("t")}},
		{"failure without a signature", "/one/1", scriptedtarget.Behaviour{Result: unsigned}, dispatch.Lost{Reason: "targetFailed"}},
		{"status that would mean not run", "/one/1", scriptedtarget.Behaviour{Result: unavailable}, dispatch.Lost{Reason: "targetFailed"}},
		{"the time is up", "/one/1", scriptedtarget.Behaviour{Delay: time.Hour}, dispatch.Lost{Reason: forward.ReasonTimeout, Timeout: true}},
		{"the request crashes its targets", "/one/crashes", scriptedtarget.Behaviour{}, dispatch.NotRun{Reason: forward.ReasonCrashesTargets, RetryAfter: 2 * time.Minute}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newFixture(c.target)
				x.configure()
				require.Equal(t, c.want, x.send(c.path, 0))
				time.Sleep(2 * time.Second)
				x.pool.Close()
			})
		})
	}
}

// publish publishes a version in which the account "anna" has the given keys; without keys there is no account.
func (x *fixture) publish(version uint64, keys ...string) {
	route := func(prefix string, d routetable.Destination) routetable.Route {
		return routetable.Route{Name: prefix, Host: "h", Prefix: prefix, Idempotent: true, Attempts: 2, Objective: 100 * time.Millisecond, Public: prefix == "/public/", Destination: d}
	}
	one, all := routetable.Single{Service: "s"}, routetable.Scatter{Shards: []string{"t", "u"}, TopK: 5, MinCoverage: 1}
	table := routetable.New(version, []routetable.Route{route("/one/", one), route("/public/", one), route("/all/", all)}, nil, routetable.Limits{})
	if len(keys) > 0 {
		table = table.WithAccounts(account.NewTable([]account.Keyed{{Account: account.Account{Name: "anna"}, Keys: keys}}))
	}
	targets := []inventory.Target{{ID: "s1", Service: "s"}, {ID: "s2", Service: "s"}, {ID: "t1", Service: "t"}, {ID: "u1", Service: "u"}}
	x.cell.Set(&platformstate.State{Inventory: inventory.New(1, targets), OperatorState: operatorstate.State{Table: table}})
}

// Guards against requests that run without a key or under the name that the caller chose, against those that are sent, or sent
// again, with a key that was revoked meanwhile, against the end of those that a target may be running, and against a flood of log
// lines.
func TestAuthentication(t *testing.T) {
	full := scriptedtarget.Behaviour{Delay: 5 * time.Millisecond, Result: targetcall.Refused{}}
	failed := scriptedtarget.Behaviour{Delay: 5 * time.Millisecond, Result: scriptedtarget.Failure("s1")}
	slow := scriptedtarget.Behaviour{Delay: 20 * time.Millisecond}
	key, one, kept, revoked := account.HashKey("k1"), []string{"k1"}, []string{"k2", "k1"}, []string{"k2"}
	for name, c := range map[string]struct {
		path       string
		credential account.Credential
		target     scriptedtarget.Behaviour
		// keys are those of the version in force, later those of the version that is published while the first targets work.
		keys, later []string
		want        dispatch.Answer
		sends       int
		// account and identity are what the target gets.
		account, identity string
	}{
		"key":                   {"/one/", key, slow, one, kept, dispatch.Forwarded{}, 1, "anna", ""},
		"unknown key":           {"/one/", key, slow, revoked, one, dispatch.Unauthorized{Reason: dispatch.ReasonUnknownKey}, 0, "", ""},
		"no credential":         {"/all/", nil, slow, one, one, dispatch.Unauthorized{Reason: dispatch.ReasonMissingKey}, 0, "", ""},
		"malformed":             {"/one/", account.Malformed{}, slow, one, one, dispatch.Unauthorized{Reason: dispatch.ReasonMalformedKey}, 0, "", ""},
		"repeated":              {"/one/", account.Repeated{}, slow, one, one, dispatch.Unauthorized{Reason: dispatch.ReasonRepeatedKey}, 0, "", ""},
		"no route":              {"/none/", account.Missing{}, slow, one, one, dispatch.NoRoute{}, 0, "", ""},
		"public route":          {"/public/", key, slow, one, one, dispatch.Forwarded{}, 1, "", ""},
		"no accounts":           {"/one/", account.Malformed{}, slow, nil, one, dispatch.Forwarded{}, 1, "", "caller"},
		"revoked, full target":  {"/one/", key, full, one, revoked, dispatch.Unauthorized{Reason: dispatch.ReasonRevokedKey}, 1, "anna", ""},
		"revoked, full shards":  {"/all/", key, full, one, revoked, dispatch.Unauthorized{Reason: dispatch.ReasonRevokedKey}, 2, "anna", ""},
		"revoked, running":      {"/all/", key, slow, one, revoked, dispatch.Merged{}, 2, "anna", ""},
		"revoked, target fails": {"/one/", key, failed, one, revoked, dispatch.Forwarded{}, 2, "anna", ""},
		"kept, full target":     {"/one/", key, full, one, kept, dispatch.NotRun{}, 6, "anna", ""},
		"accounts removed":      {"/one/", key, full, one, nil, dispatch.NotRun{}, 6, "anna", ""},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				core, logs := observer.New(zapcore.InfoLevel)
				x := newFixture(c.target)
				defer x.pool.Close()
				x.dispatcher.Log = zap.New(core)
				x.dispatcher.Forwarder.Budget.SetRule(retrybudget.Rule{Slack: 20, Window: time.Second}, retrybudget.EqualShares(1))
				x.publish(1, c.keys...)
				time.AfterFunc(2*time.Millisecond, func() { x.publish(2, c.later...) })
				r := dispatch.CallerRequest{Request: targetcall.Request{Host: "h", Path: c.path, Header: http.Header{"X-Own": {"1"}}}, IdentityHeader: http.Header{"X-Id": {"caller"}}, Credential: c.credential}
				var answer dispatch.Answer
				for range 3 {
					r.ReceivedAt = time.Now()
					answer = x.dispatcher.Handle(context.Background(), r)
					if len(x.sender.Calls()) > 0 {
						break
					}
				}
				require.IsType(t, c.want, answer)
				if _, full := c.want.(dispatch.NotRun); full {
					// Full targets are tried again until the deadline.
					require.GreaterOrEqual(t, len(x.sender.Calls()), c.sends)
				} else {
					require.Len(t, x.sender.Calls(), c.sends)
				}
				for _, call := range x.sender.Calls() {
					require.Equal(t, c.account, call.Request.Account)
					require.Equal(t, c.identity+"1", call.Request.Header.Get("X-Id")+call.Request.Header.Get("X-Own"))
				}
				lines := logs.FilterMessage(events.CallerRefused.Name).All()
				if _, refused := c.want.(dispatch.Unauthorized); refused {
					require.Equal(t, c.want, answer)
					require.Len(t, lines, 1, "at most one a second")
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against quota that is used by requests that ran nowhere, and against requests that are sent before their check.
func TestRefusedRequestsReturnTheirQuota(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(scriptedtarget.Behaviour{})
		x.configure()
		s := *x.cell.Get()
		caller := account.Account{Name: "a", Quota: account.Quota{PerSecond: 0.1, Burst: 1}}
		s.OperatorState.Table = s.OperatorState.Table.WithAccounts(account.NewTable([]account.Keyed{{Account: caller, Keys: []string{"k"}}}))
		x.cell.Set(&s)
		table := &blackboard.Cell[issuertable.Table]{}
		table.Set(issuertable.New("vm", []issuertable.Member{{Name: "vm"}}, 1))
		x.dispatcher.Quota = &accountquota.Admission{
			Name: "vm", Permits: &permitclient.Client{Name: "vm", Table: table, Issuer: &permitissuer.Issuer{Table: table}},
			Rules: func() permit.Rules { return permit.Rules{Window: 5 * time.Second} }, Known: func() int { return 1 },
		}
		time.Sleep(10 * time.Second)
		ask := func(path string) dispatch.Answer {
			return x.dispatcher.Handle(context.Background(), dispatch.CallerRequest{
				Request: targetcall.Request{Method: "GET", Host: "h", Path: path}, Credential: account.HashKey("k"), ReceivedAt: time.Now(),
			})
		}
		for range 5 {
			require.IsType(t, dispatch.NotRun{}, ask("/nowhere/1"))
		}
		require.IsType(t, dispatch.Forwarded{}, ask("/one/1"))
		require.Equal(t, dispatch.OverQuota{RetryAfter: 10 * time.Second}, ask("/one/1"))
		time.Sleep(10 * time.Second)
		require.IsType(t, dispatch.Merged{}, ask("/all/1"))
		x.pool.Close()
	})
}

func TestAnswerIsReadyBeforeTheDeadlineOfTheCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(scriptedtarget.Behaviour{Delay: time.Hour})
		x.configure()
		start := time.Now()
		x.send("/one/1", 200*time.Millisecond)
		require.Equal(t, 190*time.Millisecond, time.Since(start))
		time.Sleep(time.Second)
		x.pool.Close()
	})
}

func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newFixture(scriptedtarget.Behaviour{})
		start := time.Now()
		require.Equal(t, dispatch.ReasonUnconfigured, x.send("/one/1", 400*time.Millisecond).(dispatch.NotRun).Reason)
		require.LessOrEqual(t, time.Since(start), 105*time.Millisecond, "a quarter of the deadline of the caller")
		time.AfterFunc(30*time.Millisecond, x.configure)
		require.IsType(t, dispatch.Forwarded{}, x.send("/one/1", 0))
		x.pool.Close()
	})
}
