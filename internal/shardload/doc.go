// Package shardload holds the expected latency of shards as their aggregators report it to the daemon that runs a
// search. It handles phases in which some shards have only slow or full targets: without reports, every search waits for
// them.
package shardload
