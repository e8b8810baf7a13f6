// Package callerapi serves the caller contract over HTTP, using huma.
package callerapi
