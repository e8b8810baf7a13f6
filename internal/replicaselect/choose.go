package replicaselect

import (
	"math"
	"math/rand/v2"
	"time"
)

// Candidate is one target to which a sub-request may be sent.
type Candidate struct {
	Target string
	Relay  string
	Slots  int
	Stats  Stats
	// Attempts is the number of earlier sends of the sub-request to the target.
	Attempts int
}

// latencyExponent is the exponent of the weight that a candidate has in the random selection: its expected latency
// raised to the negative exponent. Roots that received the same statistics must not all select the same target, and
// hardly any should select one that is four times slower.
const latencyExponent = 4

// Choose returns the index of a candidate, or -1 without candidates. It prefers those with fewer attempts, then those
// that are not deprioritized, then warm ones. Among equals it selects at random, with a probability that falls steeply
// with the expected latency.
func Choose(cs []Candidate, now time.Time, rng *rand.Rand) int {
	if len(cs) == 0 {
		return -1
	}
	best := rank(cs[0], now)
	for _, c := range cs[1:] {
		best = min(best, rank(c, now))
	}
	var sum float64
	weights := make([]float64, len(cs))
	for i, c := range cs {
		if rank(c, now) == best {
			weights[i] = math.Pow(c.Stats.Expected(c.Slots).Seconds(), -latencyExponent)
			sum += weights[i]
		}
	}
	point := rng.Float64() * sum
	selected := -1
	for i, w := range weights {
		if w == 0 {
			continue
		}
		selected = i
		if point -= w; point < 0 {
			break
		}
	}
	return selected
}

// rank returns a candidate's rank by its attempts, its being deprioritized and its cold start; lower is better.
func rank(c Candidate, now time.Time) int {
	r := c.Attempts * attemptRank
	if now.Before(c.Stats.DownUntil) {
		r += downRank
	}
	if c.Stats.Cold {
		r++
	}
	return r
}

const (
	downRank    = 2
	attemptRank = 4
)

// HedgeFactor is the multiple of a sub-request's expected latency after which it is hedged to another replica. A replica
// that is known to be slow thus gets more time; otherwise its work would always be discarded.
const HedgeFactor = 2

// ShouldHedge reports whether the other candidate has a free slot and is expected to answer sooner than the
// sub-request has been waiting. A hedge that has to queue would only add to the load that made the sub-request late.
func ShouldHedge(other Candidate, waited time.Duration, now time.Time) bool {
	busy := other.Stats.Queued+other.Stats.Outstanding >= other.Slots
	if busy || other.Attempts > 0 || other.Stats.Cold || now.Before(other.Stats.DownUntil) {
		return false
	}
	return other.Stats.Expected(other.Slots) < waited
}
