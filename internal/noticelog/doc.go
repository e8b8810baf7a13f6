// Package noticelog logs what targets announce about further work.
package noticelog
