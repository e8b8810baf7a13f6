package targetselect

import "time"

const (
	// initialShare is the initial estimate, as a share of the route's objective.
	initialShare = 0.2
	// medianStep is how far one sample moves the estimate, as a share of the estimate.
	medianStep = 0.003
	// minMedian keeps the estimate above the granularity of the clock and the scheduler.
	minMedian = time.Millisecond
)

// latencyMedian is a running median of the latency of calls of one class.
type latencyMedian struct {
	median time.Duration
}

func newLatencyMedian(objective time.Duration) *latencyMedian {
	return &latencyMedian{median: max(time.Duration(float64(objective)*initialShare), minMedian)}
}

// add moves the median one step towards the sample.
func (m *latencyMedian) add(took time.Duration) {
	step := time.Duration(float64(m.median) * medianStep)
	switch {
	case took > m.median:
		m.median += step
	case took < m.median:
		m.median = max(m.median-step, minMedian)
	}
}
