// Package targetcall defines calls to targets and their results, independent of a wire format.
package targetcall
