// Package dispatch answers a caller's request: it finds the route, sends it on and says how it ended.
package dispatch
