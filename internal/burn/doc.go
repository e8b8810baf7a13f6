// Package burn counts how many answers met the objective of their team, and reports the burn rate of the error budget.
package burn
