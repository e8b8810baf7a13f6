// Package pace bounds how often something is done about each of many keys.
package pace
