package aggregatorclient_test

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/scriptedtarget"
	"github.com/knapweedpoint/knapweedpoint/internal/shardload"
)

// Guards against requesting daemons that do not know of late shards between their own searches, when a report is lost, or
// once the aggregator has been replaced; and against reports that outlast their cause.
func TestLateShardsAreReported(t *testing.T) {
	for _, c := range []struct {
		name  string
		drops func(from, to, kind string, n int) bool
	}{
		{"nothing is lost", nil},
		{"every second reply is lost", func(_, _, kind string, n int) bool { return kind == "reply" && n%2 == 1 }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(func(target string, _ int) scriptedtarget.Behaviour {
					return scriptedtarget.Behaviour{Delay: lo.Ternary(strings.HasPrefix(target, "s0-"), 25*work, work)}
				})
				f.drops = c.drops
				requester := f.requester()
				holder := f.firstAggregator("s0", requester)
				f.aggregators[holder].Forwarder.Selector.CountsCancelled = func(string) bool { return true }
				f.aggregators[holder].ReportLoads = func() bool { return true }
				loads := &shardload.Register{}
				f.roots[requester].Loads = loads
				loads.Record(shardload.Report{Aggregator: holder, Shards: []string{"s9"}, Late: map[string]time.Duration{"s9": time.Second}}, time.Now())
				for range 6 {
					f.searchWithin(context.Background(), requester, 800*time.Millisecond)
					time.Sleep(200 * time.Millisecond)
				}
				for range 5 {
					time.Sleep(150 * time.Millisecond)
					expected, late := loads.Expected("s0", time.Now())
					require.True(t, late)
					require.Greater(t, expected, objective-margin)
				}
				require.Equal(t, 1, loads.Len(), "only late shards are reported, and the report of the earlier process is gone")
				time.Sleep(2 * time.Second)
				_, late := loads.Expected("s0", time.Now())
				require.False(t, late, "reports end when calls are no longer retained")
				f.close()
			})
		})
	}
}
