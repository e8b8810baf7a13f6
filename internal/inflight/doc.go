// Package inflight holds the requests that a daemon is answering.
package inflight
