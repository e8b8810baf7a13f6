// Package crashguard detects requests that crash the targets that run them, across the callers' repeated attempts.
package crashguard
