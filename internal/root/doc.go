// Package root serves callers' requests: it selects a snapshot, plans the parts of the query, scatters them over the
// relays, gathers the results and reports the coverage.
package root
