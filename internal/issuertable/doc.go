// Package issuertable determines which daemons issue the permits of a target that has a rate limit or of an account that
// has a quota.
package issuertable
