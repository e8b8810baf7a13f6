// Package home chooses the availability zone in which each shard of a search is gathered.
package zoneplacement
