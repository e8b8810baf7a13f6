// Package permit defines the decisions about sends to targets that have a rate limit and about requests of client accounts
// that have a quota.
package permit
