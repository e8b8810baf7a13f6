// Package crashreport tells peers of lost targets and of the requests that they were running.
package crashreport
