// Package topk merges parts of records into the greatest of them.
package topk
