// Package testtarget is a scripted target for tests: a targetcall.Sender without a network.
package testtarget
