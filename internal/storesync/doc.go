// Package storesync keeps a daemon's copy of the published state fresh: few daemons read, the others hear from them.
package storesync
