// Package outcome defines the outcome of a request: done, not run or unknown.
package outcome
