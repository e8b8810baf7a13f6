package assignment_test

import (
	"fmt"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/assignment"
)

const least = 960

// fleet returns strong daemons and weak ones.
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

// share returns how many of the shards each daemon is asked for first by a sender.
func share(t *assignment.Table, names []string, sender string) map[string]int {
	return lo.CountValuesBy(names, func(s string) string { return t.Holders("", s, sender, "")[0] })
}

func TestHoldersServeWideSearchesAndLargeFleets(t *testing.T) {
	for _, c := range []struct {
		members, shards int
		want            bool
	}{
		{1, 5000, false}, {13, 20, false}, {15, 30, false}, {31, 20, false}, {31, 90, true}, {48, 20, true}, {139, 1, false}, {139, 90, true},
	} {
		require.Equal(t, c.want, assignment.New(fleet(0, c.members), nil, least).Serves(c.shards), "%d daemons, %d shards", c.members, c.shards)
	}
	require.False(t, (*assignment.Table)(nil).Serves(90))
	require.False(t, (&assignment.Table{}).Serves(90))
}

func TestTheStrongHoldWhereTheyAreEnough(t *testing.T) {
	for _, c := range []struct {
		name         string
		strong, weak int
		want         int
	}{
		{"eight strong", 8, 131, 8},
		{"six strong", 6, 111, 6},
		{"one strong is too few", 1, 111, assignment.Buckets},
		{"all alike", 0, 139, assignment.Buckets},
	} {
		t.Run(c.name, func(t *testing.T) {
			held := share(assignment.New(fleet(c.strong, c.weak), nil, least), shards(400), "weak0")
			require.Len(t, held, c.want)
			for name := range held {
				if c.want == c.strong {
					require.Contains(t, name, "strong")
				}
			}
		})
	}
}

// The pattern: a search over 90 shards, held by few daemons; none of them may have much more than its part.
func TestShardsAreSharedOutEvenly(t *testing.T) {
	held := share(assignment.New(fleet(8, 131), nil, least), shards(800), "weak0")
	for name, n := range held {
		require.InDelta(t, 100, n, 40, name)
	}
}

func TestOneDaemonThatGoesMovesOnlyItsShards(t *testing.T) {
	before := assignment.New(fleet(8, 131), nil, least)
	for gone := range 8 {
		name := fmt.Sprint("strong", gone)
		after := assignment.New(lo.Reject(fleet(8, 131), func(m assignment.Member, _ int) bool { return m.Name == name }), nil, least)
		moved := lo.Filter(shards(800), func(s string, _ int) bool {
			was := before.Holders("", s, "weak0", "")[0]
			return was != name && was != after.Holders("", s, "weak0", "")[0]
		})
		require.LessOrEqual(t, len(lo.UniqBy(moved, assignment.Bucket)), 2, "%s", name)
	}
}

func TestManyAlikeShareTheSendersOfABucket(t *testing.T) {
	table := assignment.New(fleet(0, 450), nil, least)
	first := map[string]bool{}
	for i := range 450 {
		holders := table.Holders("", "shard7", fmt.Sprint("weak", i), "")
		require.Len(t, lo.Uniq(holders), assignment.Stands)
		require.True(t, lo.EveryBy(holders, func(h string) bool { return table.Holds("shard7", h) }))
		first[holders[0]] = true
	}
	require.Greater(t, len(first), 40)
	require.LessOrEqual(t, len(first), 450/assignment.Buckets)
}
