// Package permitissuer issues permits for sends to targets that have a rate limit, on behalf of all daemons.
package permitissuer
