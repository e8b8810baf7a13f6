// Package aggregatorclient queries the shards of a search through aggregators: daemons that query the targets of some
// shards on behalf of other daemons.
package aggregatorclient
