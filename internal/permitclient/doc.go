// Package permitclient obtains permits, for sends to targets that have a rate limit and for requests of accounts that have a
// quota, from the daemons that issue them.
package permitclient
