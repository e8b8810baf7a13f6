package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/account"
	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/issuertable"
	"github.com/knapweedpoint/knapweedpoint/internal/operatorstate"
	"github.com/knapweedpoint/knapweedpoint/internal/permit"
	"github.com/knapweedpoint/knapweedpoint/internal/permitissuer"
	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
	"github.com/knapweedpoint/knapweedpoint/internal/storesync"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// Guards against an issuer that denies the permits of an account only because its configuration is behind, that restricts one
// without a quota, or that takes a permit back twice.
func TestPermitsOfAccounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limited := account.Account{Name: "limited", Quota: account.Quota{PerSecond: 0.01, Burst: 1}}
		accounts := account.NewTable([]account.Keyed{{Account: limited}, {Account: account.Account{Name: "free"}}})
		copied := &blackboard.Cell[platformstate.State]{}
		copied.Set(&platformstate.State{OperatorState: operatorstate.State{Table: (&routetable.Table{}).WithAccounts(accounts)}})
		d := &Daemon{sync: &syncComponents{syncer: storesync.New(storesync.Options{Copy: copied})}}
		d.settings.Set(&settings.Entry{Name: "vm"})
		d.permitIssuer = &permitissuer.Issuer{Table: &d.issuers}
		d.issuers.Set(issuertable.New("vm", []issuertable.Member{{Name: "vm"}}, 1))
		time.Sleep(200 * time.Second)
		g := permit.Grant{Issuer: "vm", Requester: "peer", ID: 7}
		require.Equal(t, permit.NoIssuer{}, d.decideAccountPermit("unknown", g, time.Now()))
		require.Equal(t, permit.Granted{}, d.decideAccountPermit("free", g, time.Now()))
		require.Equal(t, permit.Granted{Grant: g}, d.decideAccountPermit("limited", g, time.Now()))
		require.IsType(t, permit.Denied{}, d.decideAccountPermit("limited", g, time.Now()))
		resource := permit.ForAccount(limited, d.quotaRules())
		for range 2 {
			d.permitIssuer.Return(resource, g, time.Now())
		}
		require.IsType(t, permit.Granted{}, d.decideAccountPermit("limited", permit.Grant{}, time.Now()))
		require.IsType(t, permit.Denied{}, d.decideAccountPermit("limited", g, time.Now()))
	})
}
