package choice

import (
	"math"
	"slices"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

const (
	// slownessMemory is the time after which a target's slowness counts e times less; slow spells last seconds.
	slownessMemory = 4 * time.Second
	// loadMemory is the time after which a stated load counts e times less; a slot turns over in some 20 ms.
	loadMemory = 60 * time.Millisecond
	// failureMemory is the time after which a failure counts e times less.
	failureMemory = 3 * time.Second
	// samples is how many ratios the median slowness is taken of, so that one pause does not count as slowness.
	samples = 3
	// hintValid is how long a peer's hint counts, about a third of a target's pause of 200 ms; a peer whose call
	// stays overdue tells again.
	hintValid = 60 * time.Millisecond
	// maxHints bounds the peers whose hints on one target are kept.
	maxHints = 16
	// maxSlowness bounds what one target is taken to be slower than usual.
	maxSlowness = 20
)

// record is what is known of one target.
type record struct {
	// address and born tell the start of the target that the record is about.
	address string
	born    int64

	slots  int
	calls  map[*Ticket]struct{}
	ratios []float64
	// sampled is when the first call of the latest ratio ended, seen when the latest call did.
	sampled time.Time
	seen    time.Time

	load   targetcall.Load
	loadAt time.Time

	failures  float64
	failedAt  time.Time
	fullUntil time.Time
	downUntil time.Time
	// gone is set once another incarnation answered at the target's address.
	gone bool
	// silences counts the calls in a row that were left unanswered.
	silences int
	// stalls are the latest hints of peers that the target stopped answering, by peer.
	stalls map[string]time.Time
}

// tells reports whether the record is about this start of the target.
func (r *record) tells(t inventory.Target) bool {
	return r.address == t.Address && r.born == t.Born
}

// addRatio takes in how many times longer than usual a call lasted that began at a time. Calls that one pause held up
// end together; they count as one, so that a pause is not taken for slowness.
func (r *record) addRatio(ratio float64, begun, now time.Time) {
	r.seen = now
	ratio = min(ratio, maxSlowness)
	if len(r.ratios) > 0 && begun.Before(r.sampled) {
		r.ratios[len(r.ratios)-1] = ratio
		return
	}
	r.sampled = now
	r.ratios = append(r.ratios, ratio)
	if len(r.ratios) > samples {
		r.ratios = r.ratios[1:]
	}
}

// slowness returns how many times longer than usual the target takes, without its queue.
func (r *record) slowness(now time.Time) float64 {
	if len(r.ratios) == 0 {
		return 1
	}
	sorted := slices.Sorted(slices.Values(r.ratios))
	median := sorted[len(sorted)/2]
	return 1 + (median-1)*fade(now.Sub(r.seen), slownessMemory)
}

// queue returns how many requests are expected ahead of a new one.
func (r *record) queue(now time.Time) float64 {
	own := float64(len(r.calls))
	if !r.load.Known {
		return own
	}
	// The stated load counts the answered call itself as running.
	stated := float64(max(r.load.Running+r.load.Waiting-1, 0)) * fade(now.Sub(r.loadAt), loadMemory)
	return max(own, stated)
}

// overdue returns how long the target's oldest overdue call has been waiting, 0 when none is overdue.
func (r *record) overdue(now time.Time) time.Duration {
	longest := time.Duration(0)
	for t := range r.calls {
		if age := now.Sub(t.begun); age > t.patience {
			longest = max(longest, age)
		}
	}
	return longest
}

// stalled returns how many peers told within the last hintValid that the target stopped answering.
func (r *record) stalled(now time.Time) int {
	n := 0
	for _, at := range r.stalls {
		if now.Sub(at) < hintValid {
			n++
		}
	}
	return n
}

func (r *record) addStall(peer string, now time.Time) {
	if r.stalls == nil || len(r.stalls) >= maxHints {
		r.stalls = map[string]time.Time{}
	}
	r.stalls[peer] = now
}

func (r *record) failure(now time.Time) float64 {
	return r.failures * fade(now.Sub(r.failedAt), failureMemory)
}

func (r *record) addFailure(now time.Time) {
	r.failures = r.failure(now) + 1
	r.failedAt = now
}

// fade returns the weight, 0 to 1, of what was learned some time ago.
func fade(age, memory time.Duration) float64 {
	return math.Exp(-float64(age) / float64(memory))
}
