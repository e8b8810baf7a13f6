package storesync

import "time"

// Copy ages at which a daemon reads the store itself, as shares of the drain bound, within which a leaving target must
// stop receiving work. The daemon of rank 0 is the store reader and reads for all; the next ranks are its fallbacks.
// The rest of the bound covers one call that hangs and its retry.
const (
	firstShare  = 0.34
	secondShare = 0.50
	thirdShare  = 0.58
	lastShare   = 0.66
	// spreadShare spreads out the reads of the remaining ranks to avoid a thundering herd.
	spreadShare = 0.09
	// spreadRanks is the number of ranks over which these reads are spread.
	spreadRanks = 16
)

// readAge returns the copy age at which a daemon of the given rank reads the store itself. Rank 0 reads first.
func readAge(rank int, bound time.Duration) time.Duration {
	share := lastShare + spreadShare*float64(rank%spreadRanks)/spreadRanks
	switch rank {
	case 0:
		share = firstShare
	case 1:
		share = secondShare
	case 2:
		share = thirdShare
	}
	return time.Duration(share * float64(bound))
}
