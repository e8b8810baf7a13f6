// Package snapshot selects the snapshot that a query reads.
package snapshot
