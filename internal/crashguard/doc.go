// Package crashguard recognizes requests that crash every target that runs them, by what comes again.
package crashguard
