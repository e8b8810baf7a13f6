// Package configuration puts settings trees in force, each one completely or not at all, and never an earlier revision.
package configuration
