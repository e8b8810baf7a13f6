// Package events defines the numbered events that a daemon logs; docs/EVENTS.md lists them.
package events
