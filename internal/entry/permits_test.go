package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/roster"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// Guards against refusing all requests for targets with rate limits because every daemon is leaving: the daemons still
// serve, and need issuers for that.
func TestTargetsHaveIssuersWhileDaemonsLeave(t *testing.T) {
	for _, c := range []struct {
		name             string
		daemons, leaving int
		share            float64
	}{
		{"one of one", 1, 1, 1},
		{"all of three", 3, 3, 1},
		{"one of three", 3, 1, 1},
		{"two of three", 3, 2, 1},
		{"none", 3, 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				members := lo.Times(c.daemons, func(i int) roster.Member {
					return roster.Member{Name: fmt.Sprint("vm", i), Address: "x", Incarnation: 1, Settled: true, Leaving: i < c.leaving}
				})
				issued := lo.SumBy(members, func(self roster.Member) float64 {
					d := &Daemon{sync: &syncComponents{roster: roster.New(self)}}
					d.settings.Set(&settings.Entry{Name: self.Name})
					d.sync.roster.Merge(members, time.Now())
					d.assignIssuers(d.sync.roster.Serving(time.Now()), d.sync.roster.RecentCount())
					issuers := d.issuers.Get()
					if main := issuers.Issuers("t", "")[:issuers.MainIssuers()]; !lo.Contains(main, self.Name) {
						return 0
					}
					return issuers.Rate("t", "", 1)
				})
				require.InDelta(t, c.share, issued, 1e-9)
			})
		})
	}
}
