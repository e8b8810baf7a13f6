// Package daemon assembles an entry daemon and runs it through its lifecycle: start-up, service and graceful shutdown.
package daemon
