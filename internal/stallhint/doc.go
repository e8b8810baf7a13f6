// Package stallhint notifies peers of targets that currently do not respond.
package stallhint
