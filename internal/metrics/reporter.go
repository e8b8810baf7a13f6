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

// Every is how often tally passes its values to the reporter.
const Every = time.Second

// Reporter is a tally.StatsReporter that keeps totals for operators to read; its zero value is empty.
type Reporter struct {
	mu     sync.Mutex
	values map[string]*Value
}

// Value is one metric under one set of tags.
type Value struct {
	Name string            `json:"name"`
	Tags map[string]string `json:"tags,omitempty"`
	// Total is the sum of a counter, the last value of a gauge or the sum of a timer in seconds.
	Total float64 `json:"total"`
	// Count is how many samples a timer or histogram took in.
	Count int64 `json:"count,omitempty"`
}

// NewScope returns a tally scope that reports to a new Reporter, and what closes it.
func NewScope(tags map[string]string) (tally.Scope, *Reporter, func()) {
	r := &Reporter{}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Prefix: "knapweedpoint", Tags: tags, Reporter: r}, Every)
	return scope, r, func() { _ = closer.Close() }
}

// Values returns every metric, in the order of name and tags.
func (r *Reporter) Values() []Value {
	r.mu.Lock()
	defer r.mu.Unlock()
	keys := slices.Sorted(maps.Keys(r.values))
	return lo.Map(keys, func(k string, _ int) Value { return *r.values[k] })
}

func (r *Reporter) value(name string, tags map[string]string) *Value {
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

// ReportCounter adds to a counter.
func (r *Reporter) ReportCounter(name string, tags map[string]string, value int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.value(name, tags).Total += float64(value)
}

// ReportGauge replaces a gauge.
func (r *Reporter) ReportGauge(name string, tags map[string]string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.value(name, tags).Total = value
}

// ReportTimer adds a sample to a timer.
func (r *Reporter) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.value(name, tags)
	v.Total += interval.Seconds()
	v.Count++
}

// ReportHistogramValueSamples counts samples of a histogram.
func (r *Reporter) ReportHistogramValueSamples(name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.value(name, tags)
	v.Total += upper * float64(samples)
	v.Count += samples
}

// ReportHistogramDurationSamples counts samples of a histogram, and those of each bucket under its upper bound in seconds.
func (r *Reporter) ReportHistogramDurationSamples(name string, tags map[string]string, b tally.Buckets, low, upper time.Duration, samples int64) {
	r.ReportHistogramValueSamples(name, tags, b, low.Seconds(), upper.Seconds(), samples)
	bucket := maps.Clone(tags)
	if bucket == nil {
		bucket = map[string]string{}
	}
	bucket["upTo"] = strconv.FormatFloat(upper.Seconds(), 'g', 4, 64)
	r.ReportCounter(name+"_bucket", bucket, samples)
}

// Capabilities says that the reporter keeps tags.
func (r *Reporter) Capabilities() tally.Capabilities { return r }

// Reporting says that values are kept.
func (r *Reporter) Reporting() bool { return true }

// Tagging says that tags are kept.
func (r *Reporter) Tagging() bool { return true }

// Flush does nothing: values are read when operators ask.
func (r *Reporter) Flush() {}
