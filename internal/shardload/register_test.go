package shardload_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/shardload"
)

// Guards against shards that are left out on account of a report that has expired, was contradicted, or came from a process
// that has been replaced.
func TestReports(t *testing.T) {
	const slow = 200 * time.Millisecond
	now := time.Now()
	late := func(process uint64) shardload.Report {
		return shardload.Report{Aggregator: "a", Process: process, Shards: []string{"s", "t"}, Late: map[string]time.Duration{"s": slow}}
	}
	var r shardload.Register
	expect := func(want bool, at time.Time) {
		t.Helper()
		_, ok := r.Expected("s", at)
		require.Equal(t, want, ok)
	}
	expect(false, now)
	r.Record(late(2), now)
	expect(true, now.Add(499*time.Millisecond))
	expect(false, now.Add(500*time.Millisecond))
	r.Record(shardload.Report{Aggregator: "a", Process: 1, Shards: []string{"s"}}, now)
	expect(true, now)
	r.Record(shardload.Report{Aggregator: "a", Process: 3, Shards: []string{"t"}}, now)
	expect(false, now)
	r.Record(late(3), now)
	r.Record(shardload.Report{Aggregator: "b", Shards: []string{"s"}}, now)
	expect(false, now)
	r.Record(late(3), now)
	r.Record(shardload.Report{Aggregator: "b", Shards: []string{"t"}}, now.Add(time.Second))
	require.Zero(t, r.Len())
}
