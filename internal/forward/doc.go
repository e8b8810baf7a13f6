// Package forward answers one request from the targets of one service: attempts, second sends and their bounds.
package forward
