// Package dispatch answers the requests of callers: it finds the route, authenticates the caller, forwards the request and logs
// the result.
package dispatch
