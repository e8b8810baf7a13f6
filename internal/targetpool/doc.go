// Package targetpool pools the connections to targets. A connection carries one call at a time.
package targetpool
