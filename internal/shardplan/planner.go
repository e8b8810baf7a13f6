package shardplan

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// fullShare is the share of searches that query all shards, and of hopeless requests that run, so that a recovery is
	// detected.
	fullShare = 1.0 / 20
	// spread is how much two expectations may differ, as a share, and still count as about equal. Expectations at two
	// aggregators, or before and after one call, differ by about one call in the queue of a target with two slots.
	spread = 0.5
)

// Planner chooses the shards that a search leaves out. Its zero value is ready to use.
type Planner struct {
	// Chance returns a random number from 0 to below 1. It is optional.
	Chance func() float64
}

// Omit returns the positions of at most allowed shards that are expected to answer after the given time, the latest first
// with random choice among those of about equal expectation. An expectation of 0 is unknown and counts as fast.
func (p Planner) Omit(expected []time.Duration, left time.Duration, allowed int) []int {
	type lateShard struct {
		index int
		rank  float64
	}
	var late []lateShard
	for i, e := range expected {
		if e > 0 && e > left {
			late = append(late, lateShard{index: i, rank: float64(e) * (1 + spread*p.chance())})
		}
	}
	if len(late) == 0 || allowed <= 0 || p.chance() < fullShare {
		return nil
	}
	slices.SortFunc(late, func(a, b lateShard) int {
		if a.rank > b.rank {
			return -1
		}
		return 1
	})
	out := make([]int, 0, allowed)
	for _, s := range late[:min(allowed, len(late))] {
		out = append(out, s.index)
	}
	return out
}

// Verdict says what becomes of a request, given how long its shards are expected to take.
type Verdict int

const (
	// Run is the verdict on a request that can be served in time.
	Run Verdict = iota
	// Sample is the verdict on the few requests that run although they are not expected to be served in time.
	Sample
	// Refuse is the verdict on the others.
	Refuse
)

// Judge returns the verdict on a request that needs some of its shards to answer within the given time.
func (p Planner) Judge(expected []time.Duration, left time.Duration, need int) Verdict {
	inTime := 0
	for _, e := range expected {
		if e <= left {
			inTime++
		}
	}
	if inTime >= need {
		return Run
	}
	if p.chance() < fullShare {
		return Sample
	}
	return Refuse
}

func (p Planner) chance() float64 {
	if p.Chance != nil {
		return p.Chance()
	}
	return rand.Float64()
}
