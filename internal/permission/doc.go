// Package permission decides, at the moment of a send, which targets may receive work.
package permission
