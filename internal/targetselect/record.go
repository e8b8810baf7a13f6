package targetselect

import (
	"math"
	"slices"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcapacity"
)

const (
	// slownessDecay is the time constant of a target's slowness, which decays exponentially; slow phases last for
	// seconds.
	slownessDecay = 4 * time.Second
	// loadDecay is the time constant of the load that a target reports; a slot is freed about every 20 ms.
	loadDecay = 60 * time.Millisecond
	// failureDecay is the time constant of a target's failure count.
	failureDecay = 3 * time.Second
	// slownessSamples is the number of latency ratios whose median is a target's slowness. With three, a single pause
	// does not count as slowness.
	slownessSamples = 3
	// hintTTL is how long a peer's stall hint counts: about a third of a target's pause of 200 ms. A peer whose call
	// is still late sends another hint.
	hintTTL = 60 * time.Millisecond
	// maxHints bounds the number of peers whose hints are retained for one target.
	maxHints = 16
	// maxSlowness bounds a target's latency ratio.
	maxSlowness = 20
)

// record holds the statistics of one target.
type record struct {
	// address and startMillis identify the incarnation of the target that the record describes.
	address     string
	startMillis int64

	slots  int
	calls  map[*PendingCall]struct{}
	ratios []float64
	// sampledAt is when the first call that counts towards the latest ratio ended. answeredAt is when the latest
	// answered call ended.
	sampledAt  time.Time
	answeredAt time.Time

	load   targetcall.Load
	loadAt time.Time

	failures     float64
	failedAt     time.Time
	refusedUntil time.Time
	ejectedUntil time.Time
	// gone is set once another incarnation has answered at the target's address.
	gone bool
	// unanswered counts the consecutive calls that the target did not answer.
	unanswered int
	// hints holds the time of the latest stall hint of each peer.
	hints map[string]time.Time
	// capacity is used if the selector learns capacity.
	capacity targetcapacity.Capacity
}

// matches reports whether the record describes this incarnation of the target.
func (r *record) matches(t inventory.Target) bool {
	return r.address == t.Address && r.startMillis == t.StartMillis
}

// addRatio adds a sample: the call's latency divided by the typical one. Calls that one pause delayed end together.
// They count as a single sample, so that a pause is not taken for slowness.
func (r *record) addRatio(ratio float64, started, now time.Time) {
	r.answeredAt = now
	ratio = min(ratio, maxSlowness)
	if len(r.ratios) > 0 && started.Before(r.sampledAt) {
		r.ratios[len(r.ratios)-1] = ratio
		return
	}
	r.sampledAt = now
	r.ratios = append(r.ratios, ratio)
	if len(r.ratios) > slownessSamples {
		r.ratios = r.ratios[1:]
	}
}

// slowness returns the ratio of the target's latency, without queueing, to the typical one.
func (r *record) slowness(now time.Time) float64 {
	if len(r.ratios) == 0 {
		return 1
	}
	sorted := slices.Sorted(slices.Values(r.ratios))
	median := sorted[len(sorted)/2]
	return 1 + (median-1)*decay(now.Sub(r.answeredAt), slownessDecay)
}

// queue returns the expected number of requests ahead of a new one.
func (r *record) queue(now time.Time) float64 {
	own := float64(len(r.calls))
	if !r.load.Known {
		return own
	}
	// The reported load counts the answered call itself as running.
	reported := float64(max(r.load.Running+r.load.Waiting-1, 0)) * decay(now.Sub(r.loadAt), loadDecay)
	return max(own, reported)
}

// full reports whether the target has reached its learned limit.
func (r *record) full(now time.Time) bool { return r.capacity.Full(r.oldestLate(now), now) }

// oldestLate returns the age of the target's oldest call that has exceeded its hedge delay, 0 when there is none.
func (r *record) oldestLate(now time.Time) time.Duration {
	longest := time.Duration(0)
	for p := range r.calls {
		if age := now.Sub(p.started); age > p.hedgeDelay {
			longest = max(longest, age)
		}
	}
	return longest
}

// hintCount returns the number of peers that sent a stall hint within the last hintTTL.
func (r *record) hintCount(now time.Time) int {
	n := 0
	for _, at := range r.hints {
		if now.Sub(at) < hintTTL {
			n++
		}
	}
	return n
}

func (r *record) addHint(peer string, now time.Time) {
	if r.hints == nil || len(r.hints) >= maxHints {
		r.hints = map[string]time.Time{}
	}
	r.hints[peer] = now
}

// recentFailures returns the failure count, with older failures counting less.
func (r *record) recentFailures(now time.Time) float64 {
	return r.failures * decay(now.Sub(r.failedAt), failureDecay)
}

func (r *record) addFailure(now time.Time) {
	r.failures = r.recentFailures(now) + 1
	r.failedAt = now
}

// decay returns the weight, 0 to 1, of a sample of the given age.
func decay(age, timeConstant time.Duration) float64 {
	return math.Exp(-float64(age) / float64(timeConstant))
}
