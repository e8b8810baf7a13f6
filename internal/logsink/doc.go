// Package logsink writes log lines in the background, so that a slow reader of the log never holds a request up.
package logsink
