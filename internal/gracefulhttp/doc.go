// Package gracefulhttp ends the connections of HTTP servers without losing a request that has begun.
package gracefulhttp
