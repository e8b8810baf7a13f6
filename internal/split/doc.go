// Package split distributes requests among services in proportion to their weights.
package split
