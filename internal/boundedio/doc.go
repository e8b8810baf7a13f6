// Package boundedio reads messages from other processes within a size limit and a memory budget.
package boundedio
