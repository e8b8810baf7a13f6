package choice

import "time"

const (
	// firstUsual is the part of a route's objective that its calls are taken to last before any has ended.
	firstUsual = 0.2
	// usualStep is how far one call moves the estimate, as a share of it.
	usualStep = 0.003
	// minUsual keeps the estimate above the clock's and the scheduler's grain.
	minUsual = time.Millisecond
)

// usual is a running median of how long the calls of one class last.
type usual struct {
	median time.Duration
}

func newUsual(objective time.Duration) *usual {
	return &usual{median: max(time.Duration(float64(objective)*firstUsual), minUsual)}
}

// add moves the median by a step towards one sample.
func (u *usual) add(took time.Duration) {
	step := time.Duration(float64(u.median) * usualStep)
	switch {
	case took > u.median:
		u.median += step
	case took < u.median:
		u.median = max(u.median-step, minUsual)
	}
}
