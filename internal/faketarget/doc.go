// Package faketarget implements a fake of the targets. It follows the target contract, injects faults on demand and
// records what it ran. Tests run it in process, and the standin program serves it over HTTP.
package faketarget
