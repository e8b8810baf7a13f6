// Package stallhint tells peers which targets have stopped answering for the moment.
package stallhint
