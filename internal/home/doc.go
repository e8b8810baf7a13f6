// Package home decides in which availability zone each shard of a search is gathered.
package home
