// Package timerlag estimates how late a busy daemon handles its timers.
package timerlag
