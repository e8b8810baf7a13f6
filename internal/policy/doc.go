// Package policy defines the ways in which a daemon may reach targets.
package policy
