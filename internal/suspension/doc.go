// Package suspension notices that the VM was suspended, which the steady clock does not count.
package suspension
