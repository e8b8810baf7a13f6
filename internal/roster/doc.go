// Package roster tracks which daemons are alive, by heartbeat counters that are spread by gossip.
package roster
