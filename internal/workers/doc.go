// Package workers runs short blocking jobs on goroutines that are used again.
package workers
