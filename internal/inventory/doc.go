// Package inventory holds the published targets.
package inventory
