// Package scatter sends one request to all shards of a route and merges their parts into one answer.
package scatter
