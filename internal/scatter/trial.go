package scatter

import (
	"context"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/forward"
)

// trial is a Batch of a search that may crash its targets. It queries one shard, and the others once that one has answered.
type trial struct {
	runner Runner
	search Search
	jobs   []forward.Job
	// batch runs the job of the first shard, or the jobs of the others. indexes holds their positions in the search.
	batch   Batch
	indexes []int
	// answered is set once the first shard has answered.
	answered bool
}

func newTrial(r Runner, s Search, jobs []forward.Job, first int) *trial {
	t := &trial{runner: r, search: s, jobs: jobs, indexes: []int{first}}
	// The shard keeps its other targets, whatever happens to the first one.
	s.Route.Attempts = 1
	job := jobs[first]
	job.Route.Attempts = 1
	t.batch = r.Start(s, []forward.Job{job})
	return t
}

// continueWith queries the remaining shards.
func (t *trial) continueWith(indexes []int) {
	t.batch.Release()
	t.indexes = indexes
	t.batch = t.runner.Start(t.search, lo.Map(indexes, func(i, _ int) forward.Job { return t.jobs[i] }))
}

// Next returns the next jobs that have a result. If the first shard does not answer, the others are not run.
func (t *trial) Next(ctx context.Context, wake time.Time) []forward.JobResult {
	results := t.batch.Next(ctx, wake)
	for i := range results {
		results[i].Index = t.indexes[results[i].Index]
	}
	if t.answered || len(results) == 0 {
		return results
	}
	others := lo.Without(lo.Range(len(t.jobs)), t.indexes...)
	if _, t.answered = results[0].Outcome.(forward.Done); t.answered {
		t.continueWith(others)
		return results
	}
	return append(results, lo.Map(others, func(i, _ int) forward.JobResult {
		return forward.JobResult{Index: i, Outcome: forward.NotRun{Reason: forward.ReasonCrashesTargets, RetryAfter: retryAfterSuspicion}}
	})...)
}

// PendingTrace returns the trace of a job without a result.
func (t *trial) PendingTrace(index int, now time.Time) forward.Trace {
	if i := lo.IndexOf(t.indexes, index); i >= 0 {
		return t.batch.PendingTrace(i, now)
	}
	return forward.Trace{}
}

// Begin does nothing: a search that may crash its targets leaves out no shard.
func (t *trial) Begin([]int) {}

// MayHaveRun reports whether a target may run or have run a job without a result.
func (t *trial) MayHaveRun(index int) bool {
	i := lo.IndexOf(t.indexes, index)
	return i >= 0 && t.batch.MayHaveRun(i)
}

// Stop prevents further sends.
func (t *trial) Stop() { t.batch.Stop() }

// Abandon cancels the sends in flight.
func (t *trial) Abandon() { t.batch.Abandon() }

// Release frees the resources of the batch.
func (t *trial) Release() { t.batch.Release() }
