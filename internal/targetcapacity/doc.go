// Package targetcapacity learns how many calls in flight a target handles well. It is for targets whose speed differs
// and changes: slow phases of several seconds, machines that are shared with others for fractions of a second, pauses,
// and queues that several daemons fill. It has no network access and keeps no goroutine.
package targetcapacity
