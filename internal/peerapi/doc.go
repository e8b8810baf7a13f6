// Package peerapi serves the peer protocol over Twirp.
package peerapi
