package metrics

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/uber-go/tally/v4"
)

// ReportInterval is the interval at which tally reports its values to the Reporter.
const ReportInterval = time.Second

// Reporter is a tally.StatsReporter that accumulates values in memory. Its zero value is ready to use.
type Reporter struct {
	mu     sync.Mutex
	values map[string]*Value
}

// Value is the current value of one metric with one set of tags.
type Value struct {
	Name string            `json:"name"`
	Tags map[string]string `json:"tags,omitempty"`
	// Total is the sum of a counter, the last value of a gauge, the sum of a timer in seconds or, for a histogram, the sum of
	// the upper bounds of its samples' buckets.
	Total float64 `json:"total"`
	// Count is the number of samples of a timer or histogram.
	Count int64 `json:"count,omitempty"`
}

// NewScope returns a tally scope, the new Reporter that it reports to, and a function that closes the scope.
func NewScope(tags map[string]string) (tally.Scope, *Reporter, func()) {
	r := &Reporter{}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Prefix: "knapweedpoint", Tags: tags, Reporter: r}, ReportInterval)
	return scope, r, func() { _ = closer.Close() }
}

// Values returns all metrics, sorted by name and tags.
func (r *Reporter) Values() []Value {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := slices.Sorted(maps.Keys(r.values))
	return lo.Map(keys, func(k string, _ int) Value { return *r.values[k] })
}

// getOrCreate returns the value of a metric. The caller holds the mutex.
func (r *Reporter) getOrCreate(name string, tags map[string]string) *Value {
	key := name
	for _, t := range slices.Sorted(maps.Keys(tags)) {
		key += "\x00" + t + "=" + tags[t]
	}
	v := r.values[key]
	if v == nil {
		if r.values == nil {
			r.values = map[string]*Value{}
		}
		v = &Value{Name: name, Tags: tags}
		r.values[key] = v
	}
	return v
}

// ReportCounter adds a value to a counter.
func (r *Reporter) ReportCounter(name string, tags map[string]string, value int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.getOrCreate(name, tags).Total += float64(value)
}

// ReportGauge sets a gauge.
func (r *Reporter) ReportGauge(name string, tags map[string]string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.getOrCreate(name, tags).Total = value
}

// ReportTimer adds a sample to a timer.
func (r *Reporter) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.getOrCreate(name, tags)
	v.Total += interval.Seconds()
	v.Count++
}

// ReportHistogramValueSamples adds samples to a histogram. Each counts with the upper bound of its bucket.
func (r *Reporter) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.getOrCreate(name, tags)
	v.Total += upper * float64(samples)
	v.Count += samples
}

// ReportHistogramDurationSamples adds samples to a histogram and to a counter per bucket, whose upTo tag is the upper bound of
// the bucket in seconds.
func (r *Reporter) ReportHistogramDurationSamples(name string, tags map[string]string, b tally.Buckets, low, upper time.Duration, samples int64) {
	r.ReportHistogramValueSamples(name, tags, b, low.Seconds(), upper.Seconds(), samples)
	bucket := maps.Clone(tags)
	if bucket == nil {
		bucket = map[string]string{}
	}
	bucket["upTo"] = strconv.FormatFloat(upper.Seconds(), 'g', 4, 64)
	r.ReportCounter(name+"_bucket", bucket, samples)
}

// Capabilities returns the reporter itself: it supports reporting and tagging.
func (r *Reporter) Capabilities() tally.Capabilities { return r }

// Reporting returns true: values are reported.
func (r *Reporter) Reporting() bool { return true }

// Tagging returns true: tags are supported.
func (r *Reporter) Tagging() bool { return true }

// Flush does nothing because values are not buffered.
func (r *Reporter) Flush() {}
