// Package operatorstate holds the state set by operators: the configuration in force and the availability zones taken
// out of service.
package operatorstate
