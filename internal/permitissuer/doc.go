// Package permitissuer issues permits for sends to targets that have a rate limit and for requests of accounts that
// have a quota, on behalf of all daemons.
package permitissuer
