// Package stoplimit bounds the callers' requests of a daemon that was told to stop.
package stoplimit
