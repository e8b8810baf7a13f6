package traffic_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/knapweedpoint/knapweedpoint/internal/traffic"
)

func TestBytesAreCountedByKindAndWhetherTheyCross(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := &traffic.Meter{Zone: "a", Scope: scope}
	m.Add(traffic.Calls, "a", 10)
	m.Add(traffic.Calls, "b", 200)
	m.Add(traffic.Calls, "c", 30)
	m.Add(traffic.Gossip, "", 4)
	got := map[string]int64{}
	for name, c := range scope.Snapshot().Counters() {
		got[name] = c.Value()
	}
	require.Equal(t, map[string]int64{
		"bytes+crosses=no,kind=calls": 10, "bytes+crosses=yes,kind=calls": 230, "bytes+crosses=unknown,kind=gossip": 4,
	}, got)
}

func TestUnconfiguredMeterCountsNothing(*testing.T) {
	(*traffic.Meter)(nil).Add(traffic.Calls, "a", 1)
	(&traffic.Meter{}).Add(traffic.Calls, "a", 1)
}
