// Package allowance reads messages of others no further than they may be long.
package allowance
