// Package entry assembles an entry daemon that takes its routes and targets from the platform's store.
package entry
