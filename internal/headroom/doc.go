// Package headroom says how much earlier than its objective an answer has to leave.
package headroom
