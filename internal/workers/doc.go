// Package workers runs short blocking jobs on a pool of reusable goroutines.
package workers
