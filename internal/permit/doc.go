// Package permit defines the decisions about sends to targets that have a rate limit.
package permit
