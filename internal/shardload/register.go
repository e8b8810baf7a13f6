package shardload

import (
	"sync"
	"time"
)

// maxAge is how long a report counts. It is several times the interval at which aggregators repeat reports, and short
// enough for a shard to be queried again soon if its aggregator exits.
const maxAge = 500 * time.Millisecond

// Register holds the latest report about each late shard. Its zero value is empty and ready to use. Shards without a
// report count as fast.
type Register struct {
	mu      sync.Mutex
	reports map[string]report
	// pruneAt is when reports that have expired are removed next.
	pruneAt time.Time
}

// report is the expected latency of a shard, as a process of an aggregator has reported it.
type report struct {
	expected   time.Duration
	at         time.Time
	aggregator string
	process    uint64
}

// Report is what one process of an aggregator says about the shards of a call.
type Report struct {
	Aggregator string
	// Process is the incarnation of the aggregator.
	Process uint64
	// Shards are the shards of the call.
	Shards []string
	// Late holds the expected latency of those that are late. The others are fast.
	Late map[string]time.Duration
}

// Record replaces what is known of the shards of a report. Reports of earlier processes of the same aggregator are
// removed; a report of a process that has been replaced is ignored.
func (r *Register) Record(report Report, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.replaced(report, now) {
		return
	}
	for _, s := range report.Shards {
		delete(r.reports, s)
		if expected, late := report.Late[s]; late {
			r.add(s, report, expected, now)
		}
	}
}

// Expected returns the expected latency of a late shard; false if the shard counts as fast.
func (r *Register) Expected(shard string, now time.Time) (time.Duration, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known, ok := r.reports[shard]
	if !ok || now.Sub(known.at) >= maxAge {
		return 0, false
	}
	return known.expected, true
}

// Len returns the number of reports that have not been removed.
func (r *Register) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.reports)
}

// replaced reports whether a later process of the aggregator has reported. It removes what earlier processes of the
// aggregator have reported, and what has expired. The caller must hold mu.
func (r *Register) replaced(latest Report, now time.Time) bool {
	found := false
	expired := !now.Before(r.pruneAt)
	for s, known := range r.reports {
		sameName := known.aggregator == latest.Aggregator
		found = found || sameName && known.process > latest.Process
		if sameName && known.process < latest.Process || expired && now.Sub(known.at) >= maxAge {
			delete(r.reports, s)
		}
	}
	if expired {
		r.pruneAt = now.Add(maxAge)
	}
	return found
}

// add adds a report about one shard. The caller must hold mu.
func (r *Register) add(shard string, from Report, expected time.Duration, now time.Time) {
	if r.reports == nil {
		r.reports = map[string]report{}
	}
	r.reports[shard] = report{expected: expected, at: now, aggregator: from.Aggregator, process: from.Process}
}
