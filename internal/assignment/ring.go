package assignment

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/rendezvous"
)

// strongShare of a zone's capacity must lie with its strongest daemons if they are to hold all shards:
// the work of a search is some twice that of taking it from a caller.
const strongShare = 1.0 / 6

// ring is the holders of searches that are gathered in one zone.
type ring struct {
	// local are the names of the zone's daemons; capacity is what they can do together.
	local    []string
	capacity uint64
	// near are each bucket's daemons of the zone in the order in which they stand in for each other, far one of another
	// zone, empty when there is none.
	near [Buckets][]string
	far  [Buckets]string
	// first is how many daemons of a bucket share the senders.
	first int
}

func newRing(local, others []Member) *ring {
	near, far := names(strongest(local)), names(strongest(others))
	r := &ring{local: names(local), capacity: capacity(local), first: max(len(near)/Buckets, 1)}
	for b := range Buckets {
		r.near[b] = rendezvous.Names(key(b), near, len(near))
		r.far[b] = rendezvous.Name(key(b), far)
	}
	r.balance(len(near))
	return r
}

// balance puts first in each bucket daemons that hold no more than others, as far as the numbers allow.
func (r *ring) balance(members int) {
	load := map[string]int{}
	chosen := [Buckets][]string{}
	for most := 1; ; most++ {
		missing := 0
		for b, ranked := range r.near {
			for _, name := range ranked {
				if len(chosen[b]) < r.first && load[name] < most && !slices.Contains(chosen[b], name) {
					load[name]++
					chosen[b] = append(chosen[b], name)
				}
			}
			missing += min(r.first, members) - len(chosen[b])
		}
		if missing == 0 {
			break
		}
	}
	for b, ranked := range r.near {
		r.near[b] = append(chosen[b], lo.Without(ranked, chosen[b]...)...)
	}
}

// holders returns the daemons that a sender asks for a bucket; inside tells that it stands in the ring's zone.
func (r *ring) holders(bucket int, sender string, inside bool) []string {
	near, far := r.near[bucket], r.far[bucket]
	// The senders are spread over the first ones; the others follow in their order.
	start := int(xxhash.Sum64String(sender) % uint64(r.first))
	out := lo.Times(min(Stands, len(near)), func(i int) string { return near[(start+i)%len(near)] })
	if far == "" {
		return out
	}
	if inside {
		return append(out[:min(Stands-1, len(out))], far)
	}
	// To a sender outside, the whole zone may be lost.
	return slices.Insert(out[:min(Stands-1, len(out))], 1, far)
}

func (r *ring) holds(bucket int, name string) bool {
	return name == r.far[bucket] || slices.Contains(r.near[bucket][:r.sizeNear()], name)
}

// size is how many of a bucket's daemons hold it for some sender.
func (r *ring) size() int {
	if r.far[0] == "" {
		return r.sizeNear()
	}
	return r.sizeNear() + 1
}

func (r *ring) sizeNear() int {
	stands := Stands
	if r.far[0] != "" {
		stands--
	}
	return min(r.first+stands-1, len(r.near[0]))
}

// strongest returns the daemons that hold shards: those with at least half the capacity of the strongest one,
// if together they have enough, or else all.
func strongest(members []Member) []Member {
	most := lo.MaxBy(members, func(a, b Member) bool { return a.Capacity > b.Capacity }).Capacity
	strong := lo.Filter(members, func(m Member, _ int) bool { return 2*m.Capacity >= most })
	if float64(capacity(strong)) >= strongShare*float64(capacity(members)) {
		return strong
	}
	return members
}

func capacity(ms []Member) uint64 {
	return lo.SumBy(ms, func(m Member) uint64 { return uint64(m.Capacity) })
}

func names(ms []Member) []string {
	out := lo.Map(ms, func(m Member, _ int) string { return m.Name })
	slices.Sort(out)
	return out
}

func key(bucket int) string { return string(rune('a' + bucket)) }
