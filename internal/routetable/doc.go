// Package routetable holds one version of the operators' routes and finds the route of a request.
package routetable
