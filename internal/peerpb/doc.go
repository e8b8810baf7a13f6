// Package peerpb holds the messages that daemons exchange, generated from peer.proto.
package peerpb
