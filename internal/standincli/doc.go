// Package standincli implements the commands of the standin program.
package standincli
