// Package permitclient obtains permits for sends to targets that have a rate limit from the daemons that issue them.
package permitclient
