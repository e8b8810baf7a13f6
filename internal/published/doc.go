// Package published holds one daemon's copy of all that the platform publishes.
package published
