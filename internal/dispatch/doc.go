// Package dispatch answers the requests of callers: it finds the route, forwards the request and logs the result.
package dispatch
