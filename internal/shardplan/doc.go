// Package shardplan decides which shards a search leaves out. It handles phases in which more calls are asked of some
// shards than their targets can run in time: if every search waits for the same shards, the calls queue up and all
// searches are late. Searches that leave out different shards ask no more of each than its targets can run.
package shardplan
