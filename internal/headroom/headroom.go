package headroom

import "time"

// answerWork is the time of a whole core that reading a search and writing its answer of some 4 KB take, scheduling
// included.
const answerWork = 2 * time.Millisecond

// Of returns how much earlier than its objective an answer leaves: way is what it takes on its way to the caller, and on
// a VM with a share of a core its request is read and its answer written that many times slower; 0 when the share is not
// known.
func Of(way time.Duration, processor float64) time.Duration {
	if processor <= 0 {
		return way
	}
	return way + time.Duration(float64(answerWork)/processor)
}
