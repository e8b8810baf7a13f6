package account

// Account is one client account. It is immutable.
type Account struct {
	Name string
	// Priority replaces the priority of the routes that the account's requests use; 0 is the highest. It is nil if the
	// priorities of the routes hold.
	Priority *int
	Quota    Quota
}

// Quota limits the requests of an account that all daemons together run. The zero value is no limit.
type Quota struct {
	// PerSecond is the rate in requests per second; 0 means no limit.
	PerSecond float64
	// Burst is the number of requests that may come at once in addition to the rate.
	Burst float64
}

// Limited reports whether there is a limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// PriorityOr returns the account's priority, or that of the route if the account has none.
func (a Account) PriorityOr(route int) int {
	if a.Priority == nil {
		return route
	}
	return *a.Priority
}
