// Package targetlimit records the rate limits that targets state in their answers.
package targetlimit
