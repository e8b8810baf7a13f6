// Package gossip exchanges datagrams with other daemons: membership, pushes of the platform state, hints, and the calls
// and replies of searches.
package gossip
