// Package account defines client accounts and finds them by the keys that callers present.
package account
