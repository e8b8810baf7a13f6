package assignment_test

import (
	"fmt"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/assignment"
)

const minProduct = 960

// fleet returns a fleet of strong and weak daemons.
func fleet(strong, weak int) []assignment.Member {
	ms := lo.Times(strong, func(i int) assignment.Member {
		return assignment.Member{Name: fmt.Sprint("strong", i), Capacity: 800}
	})
	return append(ms, lo.Times(weak, func(i int) assignment.Member {
		return assignment.Member{Name: fmt.Sprint("weak", i), Capacity: 134}
	})...)
}

func shards(n int) []string {
	return lo.Times(n, func(i int) string { return fmt.Sprint("shard", i) })
}

// countByAggregator returns the number of shards for which a requesting daemon queries each aggregator first.
func countByAggregator(t *assignment.Table, names []string, requester string) map[string]int {
	return lo.CountValuesBy(names, func(s string) string { return t.Aggregators("", s, requester, "")[0] })
}

func TestAggregatorsServeWideSearchesAndLargeFleets(t *testing.T) {
	for _, c := range []struct {
		members, shards int
		want            bool
	}{
		{1, 5000, false}, {13, 20, false}, {15, 30, false}, {31, 20, false}, {31, 90, true}, {48, 20, true}, {139, 1, false}, {139, 90, true},
	} {
		require.Equal(t, c.want, assignment.New(fleet(0, c.members), nil, minProduct).UsesAggregators(c.shards), "%d daemons, %d shards", c.members, c.shards)
	}
	require.False(t, (*assignment.Table)(nil).UsesAggregators(90))
	require.False(t, (&assignment.Table{}).UsesAggregators(90))
}

func TestStrongDaemonsAreAggregatorsWhereSufficient(t *testing.T) {
	for _, c := range []struct {
		name         string
		strong, weak int
		want         int
	}{
		{"eight strong daemons", 8, 131, 8},
		{"six strong daemons", 6, 111, 6},
		{"one strong daemon is too few", 1, 111, assignment.Buckets},
		{"all daemons equal", 0, 139, assignment.Buckets},
	} {
		t.Run(c.name, func(t *testing.T) {
			assigned := countByAggregator(assignment.New(fleet(c.strong, c.weak), nil, minProduct), shards(400), "weak0")
			require.Len(t, assigned, c.want)
			for name := range assigned {
				if c.want == c.strong {
					require.Contains(t, name, "strong")
				}
			}
		})
	}
}

// A search over 90 shards is distributed over few aggregators; none of them may have much more than its share.
func TestShardsAreDistributedEvenly(t *testing.T) {
	assigned := countByAggregator(assignment.New(fleet(8, 131), nil, minProduct), shards(800), "weak0")
	for name, n := range assigned {
		require.InDelta(t, 100, n, 40, name)
	}
}

func TestLostDaemonMovesOnlyItsShards(t *testing.T) {
	before := assignment.New(fleet(8, 131), nil, minProduct)
	for lost := range 8 {
		name := fmt.Sprint("strong", lost)
		after := assignment.New(lo.Reject(fleet(8, 131), func(m assignment.Member, _ int) bool { return m.Name == name }), nil, minProduct)
		moved := lo.Filter(shards(800), func(s string, _ int) bool {
			was := before.Aggregators("", s, "weak0", "")[0]
			return was != name && was != after.Aggregators("", s, "weak0", "")[0]
		})
		require.LessOrEqual(t, len(lo.UniqBy(moved, assignment.Bucket)), 2, "%s", name)
	}
}

func TestRequestersAreSpreadOverEqualDaemons(t *testing.T) {
	table := assignment.New(fleet(0, 450), nil, minProduct)
	first := map[string]bool{}
	for i := range 450 {
		aggregators := table.Aggregators("", "shard7", fmt.Sprint("weak", i), "")
		require.Len(t, lo.Uniq(aggregators), assignment.AggregatorsPerBucket)
		require.True(t, lo.EveryBy(aggregators, func(a string) bool { return table.IsAggregator("shard7", a) }))
		first[aggregators[0]] = true
	}
	require.Greater(t, len(first), 40)
	require.LessOrEqual(t, len(first), 450/assignment.Buckets)
}
