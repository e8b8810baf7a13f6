// Package entry assembles an entry daemon, which gets its routes and targets from the platform's store.
package entry
