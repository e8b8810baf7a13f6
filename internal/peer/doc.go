// Package peer sends envelopes between daemons over Twirp, with one outbox per peer.
package peer
