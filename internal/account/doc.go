// Package account defines client accounts and the credentials of callers, and finds the accounts by them.
package account
