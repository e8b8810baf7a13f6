// Package lease grants one relay at a time the right to send to a cold target, by votes of the daemons, which keep them
// in memory.
package lease
