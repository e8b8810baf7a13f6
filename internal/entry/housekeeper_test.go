package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/accountquota"
	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/permitissuer"
	"github.com/knapweedpoint/knapweedpoint/internal/platformstate"
	"github.com/knapweedpoint/knapweedpoint/internal/retrybudget"
	"github.com/knapweedpoint/knapweedpoint/internal/roster"
	"github.com/knapweedpoint/knapweedpoint/internal/sendgate"
	"github.com/knapweedpoint/knapweedpoint/internal/storesync"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// Guards against retry budgets that add up to more than the allowance of the fleet: daemons that are leaving still send,
// while the others have divided the whole allowance among themselves.
func TestRetryBudgetsOfAStoppingFleetAddUpToTheAllowance(t *testing.T) {
	const daemons, slack = 40, 200
	for _, leaving := range []int{0, 1, 10, 30, 40} {
		t.Run(fmt.Sprint(leaving, " leaving"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				members := lo.Times(daemons, func(i int) roster.Member {
					return roster.Member{Name: fmt.Sprint("vm", i), Address: "x", Incarnation: 1, Settled: true, Leaving: i < leaving}
				})
				spent := lo.SumBy(members, func(self roster.Member) int {
					d := &Daemon{sync: &syncComponents{
						roster: roster.New(self),
						syncer: storesync.New(storesync.Options{Copy: &blackboard.Cell[platformstate.State]{}}),
					}, permitIssuer: &permitissuer.Issuer{}, quota: &accountquota.Admission{}}
					s := settings.Entry{Name: self.Name}
					s.Rules.RetrySlack, s.Rules.RetryWindow = slack, settings.Duration(10*time.Second)
					d.settings.Set(&s)
					d.sync.roster.Merge(members, time.Now())
					h := &housekeeper{daemon: d, gate: &sendgate.Gate{}, budget: &retrybudget.Budget{}, roster: d.sync.roster}
					h.updateShares(time.Now())
					n := 0
					for n < slack && h.budget.Spend("s", time.Now()) {
						n++
					}
					return n
				})
				require.Positive(t, spent)
				require.LessOrEqual(t, spent, slack)
			})
		})
	}
}
