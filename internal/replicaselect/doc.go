// Package replicaselect selects among the targets of a service by the latest statistics of each.
package replicaselect
