// Package node combines a daemon's root, relay, witness, voter and outboxes, without any sockets.
package node
