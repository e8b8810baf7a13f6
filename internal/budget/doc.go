// Package budget limits the additional load of hedges and retries to a share of the first sends.
package budget
