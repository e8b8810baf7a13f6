// Package metrics collects tally's counters, gauges, timers and histograms and serves them to operators as JSON or text.
package metrics
