// Package admission limits the requests in flight in one daemon, with a lower limit for requests of less worth.
package admission
