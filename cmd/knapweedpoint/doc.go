// Knapweedpoint is a query tier over many shards.
package main
