// Package throttle limits how often an action runs for each of many keys.
package throttle
