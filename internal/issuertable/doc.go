// Package issuertable determines which daemons issue the permits of a target that has a rate limit.
package issuertable
