// Package coverage computes how much of a snapshot an answer covers, according to the snapshot's manifest.
package coverage
