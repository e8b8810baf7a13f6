// Package returntime decides when refused callers should return. It handles the moment after an overload: callers that
// all return at once are refused again, and less urgent ones take the place of urgent ones.
package returntime
