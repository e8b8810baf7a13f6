package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/knapweedpoint/knapweedpoint/internal/account"
	"github.com/knapweedpoint/knapweedpoint/internal/dispatch"
	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/operatorstate"
	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
	"github.com/knapweedpoint/knapweedpoint/internal/retrybudget"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
	"github.com/knapweedpoint/knapweedpoint/internal/scriptedtarget"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

// publish publishes a version in which the account "anna" has the given keys; without keys there is no account.
func (x *fixture) publish(version uint64, keys ...string) {
	route := func(prefix string, public bool, d routetable.Destination) routetable.Route {
		return routetable.Route{
			Name: prefix, Host: "h", Prefix: prefix, Idempotent: true, Attempts: 2, Timeout: time.Second, Objective: 100 * time.Millisecond,
			Public: public, Destination: d,
		}
	}
	table := routetable.New(version, []routetable.Route{
		route("/one/", false, routetable.Single{Service: "s"}),
		route("/public/", true, routetable.Single{Service: "s"}),
		route("/all/", false, routetable.Scatter{Shards: []string{"s", "t"}, TopK: 5, MinCoverage: 1}),
	}, nil, routetable.Limits{})
	if len(keys) > 0 {
		table = table.WithAccounts(account.NewTable([]account.Keyed{{Account: account.Account{Name: "anna", Priority: lo.ToPtr(2)}, Keys: keys}}))
	}
	x.cell.Set(&platformstate.State{
		Inventory:     inventory.New(1, []inventory.Target{{ID: "s1", Service: "s"}, {ID: "t1", Service: "t"}}),
		OperatorState: operatorstate.State{Table: table},
	})
}

func (x *fixture) sendAs(path string, credential account.Credential) dispatch.Answer {
	return x.dispatcher.Handle(context.Background(), dispatch.CallerRequest{
		Request:        targetcall.Request{ID: "r", Method: "GET", Host: "h", Path: path, Header: http.Header{"X-Own": {"1"}}},
		IdentityHeader: http.Header{"X-Identity": {"caller"}}, Credential: credential, ReceivedAt: time.Now(),
	})
}

// Guards against requests that run without a key, under the account that the caller names, or with the caller's own headers.
func TestAuthentication(t *testing.T) {
	for _, c := range []struct {
		name, path string
		credential account.Credential
		keys       []string
		// refused is the reason of a refusal. account and identity are what the target gets otherwise.
		refused, account, identity string
	}{
		{"key", "/one/1", account.HashKey("k1"), []string{"k1", "k2"}, "", "anna", ""},
		{"second key", "/one/1", account.HashKey("k2"), []string{"k1", "k2"}, "", "anna", ""},
		{"unknown key", "/one/1", account.HashKey("k3"), []string{"k1"}, dispatch.ReasonUnknownKey, "", ""},
		{"no credential", "/one/1", nil, []string{"k1"}, dispatch.ReasonMissingKey, "", ""},
		{"missing", "/all/1", account.Missing{}, []string{"k1"}, dispatch.ReasonMissingKey, "", ""},
		{"malformed", "/one/1", account.Malformed{}, []string{"k1"}, dispatch.ReasonMalformedKey, "", ""},
		{"repeated", "/one/1", account.Repeated{}, []string{"k1"}, dispatch.ReasonRepeatedKey, "", ""},
		{"public route", "/public/1", account.Missing{}, []string{"k1"}, "", "", ""},
		{"public route with a key", "/public/1", account.HashKey("k1"), []string{"k1"}, "", "", ""},
		{"no accounts", "/one/1", account.HashKey("k1"), nil, "", "", "caller"},
		{"no accounts, malformed", "/one/1", account.Malformed{}, nil, "", "", "caller"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newFixture(scriptedtarget.Behaviour{})
				x.publish(1, c.keys...)
				answer := x.sendAs(c.path, c.credential)
				x.pool.Close()
				if c.refused != "" {
					require.Equal(t, dispatch.Unauthorized{Reason: c.refused}, answer)
					require.Empty(t, x.sender.Calls())
					return
				}
				require.IsType(t, dispatch.Forwarded{}, answer)
				r := x.sender.Calls()[0].Request
				require.Equal(t, c.account, r.Account)
				require.Equal(t, c.identity, r.Header.Get("X-Identity"))
				require.Equal(t, "1", r.Header.Get("X-Own"))
			})
		})
	}
}

func TestNoRouteComesBeforeAuthentication(t *testing.T) {
	x := newFixture(scriptedtarget.Behaviour{})
	x.publish(1, "k1")
	require.Equal(t, dispatch.NoRoute{}, x.sendAs("/other/1", nil))
}

// Guards against requests that are sent, or sent again, with a key that was revoked meanwhile, and against the end of those that
// a target may be running.
func TestKeyRevokedDuringARequest(t *testing.T) {
	full := scriptedtarget.Behaviour{Delay: 5 * time.Millisecond, Result: targetcall.Refused{}}
	running := scriptedtarget.Behaviour{Delay: 40 * time.Millisecond}
	failed := scriptedtarget.Behaviour{Delay: 5 * time.Millisecond, Result: scriptedtarget.Failure("s1")}
	refused := dispatch.Unauthorized{Reason: dispatch.ReasonRevokedKey}
	for _, c := range []struct {
		name, path string
		target     scriptedtarget.Behaviour
		// keys are those of the later version.
		keys  []string
		want  dispatch.Answer
		sends int
	}{
		{"refused by a full target", "/one/1", full, []string{"k2"}, refused, 1},
		{"all shards refused", "/all/1", full, []string{"k2"}, refused, 2},
		{"running", "/one/1", running, []string{"k2"}, dispatch.Forwarded{}, 1},
		{"search running", "/all/1", running, []string{"k2"}, dispatch.Merged{}, 2},
		{"a target failed", "/one/1", failed, []string{"k2"}, dispatch.Forwarded{}, 1},
		{"key kept", "/one/1", full, []string{"k2", "k1"}, dispatch.NotRun{}, 6},
		{"accounts removed", "/one/1", full, nil, dispatch.NotRun{}, 6},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newFixture(c.target)
				defer x.pool.Close()
				x.dispatcher.Forwarder.Budget.SetRule(retrybudget.Rule{Slack: 20, Window: time.Second}, retrybudget.EqualShares(1))
				x.publish(1, "k1")
				time.AfterFunc(2*time.Millisecond, func() { x.publish(2, c.keys...) })
				answer := x.sendAs(c.path, account.HashKey("k1"))
				require.IsType(t, c.want, answer)
				if c.want == refused {
					require.Equal(t, c.want, answer)
				}
				require.Len(t, x.sender.Calls(), c.sends)
				time.Sleep(time.Second)
			})
		})
	}
}

// Guards against a flood of log lines under a flood of refused requests.
func TestRefusalsAreLoggedOnceASecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logs := observer.New(zapcore.InfoLevel)
		scope := tally.NewTestScope("", nil)
		x := newFixture(scriptedtarget.Behaviour{})
		x.dispatcher.Log, x.dispatcher.Scope = zap.New(core), scope
		x.publish(7, "k1")
		for range 25 {
			x.sendAs("/one/1", account.HashKey("k2"))
			x.sendAs("/all/1", nil)
			time.Sleep(100 * time.Millisecond)
		}
		lines := logs.FilterMessage(events.CallerRefused.Name).All()
		require.Len(t, lines, 6, "three on each route")
		require.EqualValues(t, 10, lines[5].ContextMap()["refusals"])
		require.EqualValues(t, 7, lines[5].ContextMap()["version"])
		require.Contains(t, lines[5].ContextMap(), "ageMs")
		counters := scope.Snapshot().Counters()
		require.EqualValues(t, 25, counters["authentications+outcome=unknownKey"].Value())
		require.EqualValues(t, 25, counters["authentications+outcome=missingKey"].Value())
		x.pool.Close()
	})
}
