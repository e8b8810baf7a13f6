// Package lag estimates how late a busy daemon acts on its timers.
package lag
