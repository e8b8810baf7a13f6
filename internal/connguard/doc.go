// Package connguard limits the connections of an HTTP server and the memory that their requests and answers take, and closes
// the connections whose callers stall when others need the place.
package connguard
