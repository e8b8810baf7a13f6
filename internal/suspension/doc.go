// Package suspension detects that the VM was suspended, which the monotonic clock does not count.
package suspension
