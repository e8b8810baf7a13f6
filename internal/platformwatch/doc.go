// Package platformwatch watches the platform's services and passes what they publish to the daemon.
package platformwatch
