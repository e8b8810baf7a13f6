// Package layout defines sample deployments of the users' sizes: settings trees, VM lists and target options.
package layout
