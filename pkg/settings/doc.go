// Package settings defines, parses and validates the JSON settings: the tree that operators publish, with one subtree per
// team and one for the fleet, and the settings of a single daemon.
package settings
