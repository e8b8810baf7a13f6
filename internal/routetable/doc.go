// Package routetable holds one version of the configured routes and finds the route of a request.
package routetable
