// Package placement selects the VM whose relay serves a target.
package placement
