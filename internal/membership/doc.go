// Package membership holds a daemon's view of the VMs: the platform's list combined with heartbeats and suspicions.
package membership
