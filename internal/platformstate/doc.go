// Package platformstate holds a daemon's cached copy of the platform state.
package platformstate
