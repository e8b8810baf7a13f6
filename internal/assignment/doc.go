// Package assignment assigns shards to aggregators: the daemons that hold the connections to the targets of these
// shards.
package assignment
