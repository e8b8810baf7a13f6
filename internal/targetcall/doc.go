// Package targetcall holds what a daemon and a target say to each other, free of any wire format.
package targetcall
