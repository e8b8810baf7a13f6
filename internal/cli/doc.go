// Package cli implements the commands of the knapweedpoint program.
package cli
