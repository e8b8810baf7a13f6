package zoneplacement

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

const (
	// minShardsElsewhere is the minimum number of shards with targets in another zone for which that zone gathers
	// them. The merged reply of fewer shards is hardly smaller than their parts, and it takes one more hop.
	minShardsElsewhere = 3
	// nearMaxShare is the share of the shards of the best zone for which another zone must have targets to be a
	// candidate too. The best zone is the one that has targets of the most remaining shards.
	nearMaxShare = 0.8
)

// Zone is an availability zone whose daemons gather shards.
type Zone struct {
	Name string
	// Capacity is the total capacity of the daemons of the zone, in any unit.
	Capacity uint64
}

// Place returns the zone in which each shard of a search is gathered. A shard with a target in own, the zone in which
// the search arrived, is gathered there. The others are gathered in few zones, each of which has targets of many of
// them; the key of the search chooses among nearly equal zones in proportion to their capacities. Shards that are left
// over are gathered in own. targets holds the zones of the targets of each shard.
func Place(own, key string, zones []Zone, targets [][]string) []string {
	out := make([]string, len(targets))
	var remaining []int
	for i := range targets {
		out[i] = own
		if !slices.Contains(targets[i], own) {
			remaining = append(remaining, i)
		}
	}
	others := lo.Reject(zones, func(z Zone, _ int) bool { return z.Name == own })
	for len(remaining) >= minShardsElsewhere {
		next, ok := chooseZone(key, others, targets, remaining)
		if !ok {
			break
		}
		here, rest := lo.FilterReject(remaining, func(i, _ int) bool { return slices.Contains(targets[i], next) })
		for _, i := range here {
			out[i] = next
		}
		remaining = rest
	}
	return out
}

// chooseZone returns one of the zones that have targets of the most, or nearly the most, of the remaining shards.
func chooseZone(key string, zones []Zone, targets [][]string, remaining []int) (string, bool) {
	shardsIn := map[string]int{}
	for _, i := range remaining {
		for _, name := range targets[i] {
			shardsIn[name]++
		}
	}
	highest := lo.Max(lo.Map(zones, func(z Zone, _ int) int { return shardsIn[z.Name] }))
	if highest < minShardsElsewhere {
		return "", false
	}
	candidates := lo.Filter(zones, func(z Zone, _ int) bool { return float64(shardsIn[z.Name]) >= nearMaxShare*float64(highest) })
	return lo.MinBy(candidates, func(a, b Zone) bool { return a.rank(key) < b.rank(key) }).Name, true
}

// rank returns a number for weighted rendezvous hashing: the probability that a zone has the lowest number of all
// zones is proportional to its capacity.
func (z Zone) rank(key string) float64 {
	uniform := (float64(xxhash.Sum64String(key+"\x00"+z.Name)>>11) + 1) / (1 << 53)
	return -math.Log(uniform) / float64(max(z.Capacity, 1))
}
