// Package operatorapi serves health, readiness, status, metrics and burn counts to operators over HTTP.
package operatorapi
