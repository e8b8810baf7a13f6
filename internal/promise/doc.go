// Package promise tests the invariants of the system under the faults that could violate them.
package promise
