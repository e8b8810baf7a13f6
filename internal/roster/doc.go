// Package roster knows which daemons are alive, by beats that spread from daemon to daemon.
package roster
