package assignment

import (
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/rendezvous"
)

// minStrongShare is the share of the capacity of a zone that its strongest daemons need to be its only aggregators.
// Querying the targets of a search takes about twice the work of receiving the search from a caller.
const minStrongShare = 1.0 / 6

// ring holds the aggregators of the searches that are gathered in one zone.
type ring struct {
	// local holds the names of the daemons of the zone; capacity is their total capacity.
	local    []string
	capacity uint64
	// near holds, for each bucket, the aggregators in the zone in order of preference. far holds one aggregator in
	// another zone for each bucket, empty when there is none.
	near [Buckets][]string
	far  [Buckets]string
	// primaries is the number of aggregators of a bucket among which the requesting daemons are distributed.
	primaries int
}

func newRing(local, others []Member) *ring {
	near, far := names(strongest(local)), names(strongest(others))
	r := &ring{local: names(local), capacity: capacity(local), primaries: max(len(near)/Buckets, 1)}
	for b := range Buckets {
		r.near[b] = rendezvous.PickN(key(b), near, len(near))
		r.far[b] = rendezvous.Pick(key(b), far)
	}
	r.balance(len(near))
	return r
}

// balance puts the primaries of each bucket first and distributes them as evenly as possible: each aggregator is a
// primary of as few buckets as the numbers allow.
func (r *ring) balance(daemons int) {
	load := map[string]int{}
	chosen := [Buckets][]string{}
	for limit := 1; ; limit++ {
		missing := 0
		for b, ranked := range r.near {
			for _, name := range ranked {
				if len(chosen[b]) < r.primaries && load[name] < limit && !slices.Contains(chosen[b], name) {
					load[name]++
					chosen[b] = append(chosen[b], name)
				}
			}
			missing += min(r.primaries, daemons) - len(chosen[b])
		}
		if missing == 0 {
			break
		}
	}
	for b, ranked := range r.near {
		r.near[b] = append(chosen[b], lo.Without(ranked, chosen[b]...)...)
	}
}

// aggregators returns the aggregators that a requesting daemon queries for a bucket, in order. sameZone is set when
// the requesting daemon is in the zone of the ring.
func (r *ring) aggregators(bucket int, requester string, sameZone bool) []string {
	near, far := r.near[bucket], r.far[bucket]
	// The requesting daemons are distributed over the primaries; the other aggregators follow in their order.
	start := int(xxhash.Sum64String(requester) % uint64(r.primaries))
	out := lo.Times(min(AggregatorsPerBucket, len(near)), func(i int) string { return near[(start+i)%len(near)] })
	if far == "" {
		return out
	}
	if sameZone {
		return append(out[:min(AggregatorsPerBucket-1, len(out))], far)
	}
	// The whole zone of the ring may be lost, so a requesting daemon in another zone queries far second.
	return slices.Insert(out[:min(AggregatorsPerBucket-1, len(out))], 1, far)
}

func (r *ring) isAggregator(bucket int, name string) bool {
	return name == r.far[bucket] || slices.Contains(r.near[bucket][:r.nearCount()], name)
}

// aggregatorCount is the number of daemons that are an aggregator of a bucket for some requesting daemon.
func (r *ring) aggregatorCount() int {
	if r.far[0] == "" {
		return r.nearCount()
	}
	return r.nearCount() + 1
}

func (r *ring) nearCount() int {
	perRequester := AggregatorsPerBucket
	if r.far[0] != "" {
		perRequester--
	}
	return min(r.primaries+perRequester-1, len(r.near[0]))
}

// strongest returns the daemons that become aggregators: those with at least half the capacity of the strongest one
// if their total capacity is sufficient, otherwise all.
func strongest(members []Member) []Member {
	highest := lo.MaxBy(members, func(a, b Member) bool { return a.Capacity > b.Capacity }).Capacity
	strong := lo.Filter(members, func(m Member, _ int) bool { return 2*m.Capacity >= highest })
	if float64(capacity(strong)) >= minStrongShare*float64(capacity(members)) {
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
