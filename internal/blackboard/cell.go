package blackboard

import "sync"

// Cell holds a pointer to an immutable value, which may be replaced but never modified. Its zero value is empty. All methods
// are safe for concurrent use.
type Cell[T any] struct {
	mu    sync.Mutex
	value *T
}

// Get returns the value, or nil when the cell is empty.
func (c *Cell[T]) Get() *T {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.value
}

// Set replaces the value.
func (c *Cell[T]) Set(v *T) {
	c.Update(func(*T) *T { return v })
}

// Update atomically replaces the value with the result of f, which gets the current value, and returns the new value. When f
// returns the pointer it was given, nothing changes. The function must not use the cell, whose mutex is held.
func (c *Cell[T]) Update(f func(*T) *T) *T {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := f(c.value)
	if next == c.value {
		return next
	}
	c.value = next
	return next
}
