// Package targetnotice records which targets have announced that they are leaving, or have asked for a hold.
package targetnotice
