// Package scriptedtarget provides a targetcall.Sender for tests that returns scripted results without a network.
package scriptedtarget
