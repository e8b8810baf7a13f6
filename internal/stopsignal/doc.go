// Package stopsignal receives signals and estimates when they arrived.
package stopsignal
