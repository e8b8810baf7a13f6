// Package lease grants one relay at a time the right to send to a cold target. The daemons vote on each lease and keep
// their votes in memory.
package lease
