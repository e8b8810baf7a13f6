// Package retrybudget bounds the hedges and retries that all daemons together send to a service within a sliding
// window.
package retrybudget
