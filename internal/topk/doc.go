// Package topk merges lists of records and selects the greatest ones.
package topk
