// Package forward sends one request to the targets of one service and limits the attempts, retries and hedges.
package forward
