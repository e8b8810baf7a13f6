// Package logsink writes log lines in the background, so that a slow log consumer never delays a request.
package logsink
