// Package issuertable determines which daemon issues the permits of a target that has a rate limit.
package issuertable
