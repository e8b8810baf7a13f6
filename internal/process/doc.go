// Package process holds integration tests that run real processes and sockets on loopback.
package process
