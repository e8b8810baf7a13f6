// Package traffic counts the bytes that a daemon sends and receives, by their kind and by whether they cross between
// availability zones.
package traffic
