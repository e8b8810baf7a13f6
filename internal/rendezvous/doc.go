// Package rendezvous ranks VMs or other names for a key by highest random weight (rendezvous hashing).
package rendezvous
