// Package peercopy serves and fetches copies of the platform state between daemons.
package peercopy
