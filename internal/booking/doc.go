// Package booking prevents a booking from running twice: witnesses record in memory which attempt may run a key.
package booking
