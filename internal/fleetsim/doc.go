// Package fleetsim simulates a fleet of daemons in one process, on a virtual clock. Fakes replace the network, the
// platform and the targets.
package fleetsim
