// Package zoneplacement chooses the availability zone in which each shard of a search is gathered.
package zoneplacement
