// Package loopback gives a fleet on one machine loopback addresses that no other fleet has at the same time.
package loopback
