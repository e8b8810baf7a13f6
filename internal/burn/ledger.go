package burn

import (
	"slices"
	"strings"
	"sync"
	"time"
)

// Limits of the ledger. The buckets cover one hour in total.
const (
	BucketSpan  = 10 * time.Second
	BucketCount = 360
	// MaxSeries is the maximum number of groups, over all teams, that are counted. Further groups are ignored.
	MaxSeries = 1000
)

// Sample describes one answer to be counted.
type Sample struct {
	Team  string
	Group string
	// InTime, Covered and Answered state which parts of the objective the answer met.
	InTime   bool
	Covered  bool
	Answered bool
	// Worth is the weight of the team.
	Worth float64
}

// Count is the sum of a number of samples. An answer that is not good counts as failed, partial or late, the first that applies.
type Count struct {
	Answers   int64   `json:"answers"`
	Good      int64   `json:"good"`
	Late      int64   `json:"late"`
	Partial   int64   `json:"partial"`
	Failed    int64   `json:"failed"`
	Worth     float64 `json:"worth"`
	GoodWorth float64 `json:"goodWorth"`
}

// WithSample returns the count plus one sample.
func (c Count) WithSample(s Sample) Count {
	c.Answers++
	c.Worth += s.Worth
	switch {
	case !s.Answered:
		c.Failed++
	case !s.Covered:
		c.Partial++
	case !s.InTime:
		c.Late++
	default:
		c.Good++
		c.GoodWorth += s.Worth
	}
	return c
}

// WithCount returns the sum of two counts.
func (c Count) WithCount(o Count) Count {
	c.Answers += o.Answers
	c.Good += o.Good
	c.Late += o.Late
	c.Partial += o.Partial
	c.Failed += o.Failed
	c.Worth += o.Worth
	c.GoodWorth += o.GoodWorth
	return c
}

// Series holds the counts of one group of a team.
type Series struct {
	Team  string `json:"team"`
	Group string `json:"group"`
	// Buckets holds one count per BucketSpan, oldest first. The last bucket ends at Until.
	Buckets []Count   `json:"buckets"`
	Until   time.Time `json:"until"`
}

// ring is a ring buffer of buckets.
type ring struct {
	counts [BucketCount]Count
	// newest is the number of the newest bucket, counted from the Unix epoch.
	newest int64
}

// Ledger counts samples in memory. Its zero value is ready to use.
type Ledger struct {
	mu    sync.Mutex
	rings map[string]*ring
}

// Add counts one sample.
func (l *Ledger) Add(s Sample, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := s.Team + "\x00" + s.Group
	r := l.rings[key]
	if r == nil {
		if len(l.rings) >= MaxSeries {
			return
		}
		if l.rings == nil {
			l.rings = map[string]*ring{}
		}
		r = &ring{newest: bucketNumber(now)}
		l.rings[key] = r
	}
	r.advance(bucketNumber(now))
	i := r.newest % BucketCount
	r.counts[i] = r.counts[i].WithSample(s)
}

// Series returns the counts of the last hour, sorted by team and group.
func (l *Ledger) Series(now time.Time) []Series {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Series
	for key, r := range l.rings {
		r.advance(bucketNumber(now))
		team, group, _ := strings.Cut(key, "\x00")
		s := Series{Team: team, Group: group, Until: time.Unix(0, (r.newest+1)*int64(BucketSpan))}
		for i := int64(1); i <= BucketCount; i++ {
			s.Buckets = append(s.Buckets, r.counts[(r.newest+i)%BucketCount])
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Series) int { return strings.Compare(a.Team+"\x00"+a.Group, b.Team+"\x00"+b.Group) })
	return out
}

func bucketNumber(t time.Time) int64 {
	return t.UnixNano() / int64(BucketSpan)
}

// advance makes the bucket with the given number the newest one and clears the buckets that it reuses.
func (r *ring) advance(number int64) {
	for r.newest < number {
		r.newest++
		r.counts[r.newest%BucketCount] = Count{}
		if number-r.newest > BucketCount {
			r.newest = number - BucketCount
		}
	}
}
