// Package callqueue orders the calls that wait for a service while all of its targets are at their limits: bursts of
// urgent and of less urgent kinds, and the time after a slow phase. It decides nothing about targets, has no network
// access and keeps no goroutine.
package callqueue
