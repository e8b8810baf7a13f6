// Package intake bounds the bytes of unfinished messages that a daemon holds at one time.
package intake
