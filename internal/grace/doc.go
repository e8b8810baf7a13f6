// Package grace bounds the requests of a daemon that was told to stop by the time that it has left.
package grace
