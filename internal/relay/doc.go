// Package relay queues, batches and sends the sub-requests of the targets assigned to it, within the limits of their
// slots, ramp-up and leases.
package relay
