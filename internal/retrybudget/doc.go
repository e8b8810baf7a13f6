// Package retrybudget bounds the repeated sends of all daemons to one service over a sliding window.
package retrybudget
