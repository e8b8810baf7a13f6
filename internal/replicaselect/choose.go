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

// Choose returns the index of a candidate, -1 without candidates. It prefers untried over tried, up over down, and
// warm over cold candidates. Among the remaining ones it selects at random, with a probability that falls steeply
// with the expected latency.
func Choose(cs []Candidate, now time.Time, rng *rand.Rand) int {
	if len(cs) == 0 {
		return -1
	}
	least := rank(cs[0], now)
	for _, c := range cs[1:] {
		least = min(least, rank(c, now))
	}
	var sum float64
	weights := make([]float64, len(cs))
	for i, c := range cs {
		if rank(c, now) == least {
			weights[i] = math.Pow(c.Stats.Expected(c.Slots).Seconds(), -latencyExponent)
			sum += weights[i]
		}
	}
	at := rng.Float64() * sum
	last := -1
	for i, w := range weights {
		if w == 0 {
			continue
		}
		last = i
		if at -= w; at < 0 {
			break
		}
	}
	return last
}

// rank returns a candidate's rank by what is known against it; lower is better.
func rank(c Candidate, now time.Time) int {
	r := c.Attempts * triedRank
	if now.Before(c.Stats.DownUntil) {
		r += downRank
	}
	if c.Stats.Cold {
		r++
	}
	return r
}

const (
	downRank  = 2
	triedRank = 4
)

// HedgeFactor is the multiple of its expected latency after which a sub-request is hedged to another replica. For a
// replica that is known to be slow, that is the replica's own latency; otherwise its work would always be discarded.
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
