// Package split shares requests out between services in proportion to their weights.
package split
