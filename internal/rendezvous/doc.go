// Package rendezvous ranks VMs for a key by highest random weight (rendezvous hashing).
package rendezvous
