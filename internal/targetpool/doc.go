// Package targetpool keeps the connections to targets, each of which carries one call at a time.
package targetpool
