package storesync

import "time"

// Ages at which a daemon reads the store itself, as shares of the bound within which a leaving target must get
// no more work. The first in rank reads for all; the next ones stand in for it; what is left of the bound
// covers one call that hangs and is made again.
const (
	firstShare  = 0.34
	secondShare = 0.50
	thirdShare  = 0.58
	lastShare   = 0.66
	// spreadShare keeps the daemons of lower rank from reading all at once.
	spreadShare = 0.09
	// spreadRanks is the number of ranks over which they are spread.
	spreadRanks = 16
)

// limit returns the age at which a daemon of the given rank, 0 being the first, reads by itself.
func limit(rank int, bound time.Duration) time.Duration {
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
