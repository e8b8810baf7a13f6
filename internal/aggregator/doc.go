// Package aggregator implements the aggregator: it queries the targets of some shards for the searches of other
// daemons.
package aggregator
