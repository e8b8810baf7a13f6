// Package heartbeat sends periodic heartbeats, so that the daemons exchange their state without other traffic as well.
package heartbeat
