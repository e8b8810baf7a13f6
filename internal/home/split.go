package home

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

const (
	// leastElsewhere is how many shards another zone must hold to gather them: the merged reply of fewer is hardly smaller
	// than their parts, and it takes one more hop.
	leastElsewhere = 3
	// nearlyMost is the part of the shards of the best other zone that a zone must hold to be chosen like it.
	nearlyMost = 0.8
)

// Zone is an availability zone whose daemons gather shards.
type Zone struct {
	Name string
	// Capacity is what the zone's daemons can do together, in any unit.
	Capacity uint64
}

// Split returns the zone in which each shard of a search is gathered. A shard that has a target in the zone that the search
// came to, own, is gathered there; the others go to as few zones as hold them, chosen by the search's key in proportion to
// the zones' capacities; what is left is gathered in own. targets are the zones of each shard's targets.
func Split(own, key string, zones []Zone, targets [][]string) []string {
	out := make([]string, len(targets))
	var left []int
	for i := range targets {
		out[i] = own
		if !slices.Contains(targets[i], own) {
			left = append(left, i)
		}
	}
	others := lo.Reject(zones, func(z Zone, _ int) bool { return z.Name == own })
	for len(left) >= leastElsewhere {
		next, ok := choose(key, others, targets, left)
		if !ok {
			break
		}
		here, rest := lo.FilterReject(left, func(i, _ int) bool { return slices.Contains(targets[i], next) })
		for _, i := range here {
			out[i] = next
		}
		left = rest
	}
	return out
}

// choose returns a zone that holds most of the shards that are left.
func choose(key string, zones []Zone, targets [][]string, left []int) (string, bool) {
	held := map[string]int{}
	for _, i := range left {
		for _, name := range targets[i] {
			held[name]++
		}
	}
	most := lo.Max(lo.Map(zones, func(z Zone, _ int) int { return held[z.Name] }))
	if most < leastElsewhere {
		return "", false
	}
	good := lo.Filter(zones, func(z Zone, _ int) bool { return float64(held[z.Name]) >= nearlyMost*float64(most) })
	return lo.MinBy(good, func(a, b Zone) bool { return a.draw(key) < b.draw(key) }).Name, true
}

// draw returns a number that is the least of all zones with a chance in proportion to the zone's capacity, by weighted
// rendezvous hashing.
func (z Zone) draw(key string) float64 {
	uniform := (float64(xxhash.Sum64String(key+"\x00"+z.Name)>>11) + 1) / (1 << 53)
	return -math.Log(uniform) / float64(max(z.Capacity, 1))
}
