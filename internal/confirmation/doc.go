// Package confirmation records when a daemon's configuration and VM list were last confirmed as current.
package confirmation
