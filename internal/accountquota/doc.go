// Package accountquota decides whether a request of a client account is within the account's quota. It handles an account
// that suddenly sends a multiple of its usual rate to any of the daemons, beside accounts that do not, also while the daemons
// that issue permits are unknown or do not reply.
package accountquota
