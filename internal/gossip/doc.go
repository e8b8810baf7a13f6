// Package gossip exchanges datagrams with other daemons: members, pushes of the published state and short hints.
package gossip
