// Package storesync keeps a daemon's copy of the platform state up to date: a few daemons read the store and push what
// changed to the others.
package storesync
