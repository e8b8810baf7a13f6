// Package measure runs the reference deployments under demanding load and fault scenarios on a virtual clock and reports
// latency, coverage and overhead.
package measure
