// Package blackboard holds the shared state of a daemon: immutable values that its controllers read and replace.
package blackboard
