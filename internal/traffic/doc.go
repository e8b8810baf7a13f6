// Package traffic counts the bytes that a daemon sends and takes, by what they are and whether they cross between
// availability zones.
package traffic
