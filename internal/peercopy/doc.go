// Package peercopy serves and fetches copies of the published state between daemons.
package peercopy
