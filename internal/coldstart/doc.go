// Package coldstart limits the load of a target after its start and raises the limit in ramp steps, based on the
// service times of the target's own replies.
package coldstart
