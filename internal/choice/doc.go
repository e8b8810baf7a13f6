// Package choice picks the target that is expected to answer soonest, by what a daemon's own calls showed.
package choice
