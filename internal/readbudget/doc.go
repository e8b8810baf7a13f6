// Package readbudget limits the memory that a daemon uses for messages that it is still reading.
package readbudget
