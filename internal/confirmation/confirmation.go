package confirmation

import "time"

// MaxAge is how long after a confirmation new work may be sent to targets.
const MaxAge = 2500 * time.Millisecond

// Confirmation holds the latest confirmations; each is the time at which the confirming call was sent.
type Confirmation struct {
	tree time.Time
	list time.Time
}

// WithTree returns a copy that includes a confirmation of the configuration.
func (c Confirmation) WithTree(at time.Time) Confirmation {
	if at.After(c.tree) {
		c.tree = at
	}
	return c
}

// WithList returns a copy that includes a confirmation of the VM list.
func (c Confirmation) WithList(at time.Time) Confirmation {
	if at.After(c.list) {
		c.list = at
	}
	return c
}

// TreeAge returns the age of the latest confirmation of the configuration, or a negative value if there is none.
func (c *Confirmation) TreeAge(now time.Time) time.Duration {
	if c == nil || c.tree.IsZero() {
		return -1
	}
	return now.Sub(c.tree)
}

// ListAge returns the age of the latest confirmation of the VM list, or a negative value if there is none.
func (c *Confirmation) ListAge(now time.Time) time.Duration {
	if c == nil || c.list.IsZero() {
		return -1
	}
	return now.Sub(c.list)
}

// Fresh reports whether the configuration was confirmed recently enough to send new work.
func (c *Confirmation) Fresh(now time.Time) bool {
	age := c.TreeAge(now)
	return age >= 0 && age <= MaxAge
}

// ListFresh reports whether the VM list was confirmed recently enough to vote, to run bookings or to witness them.
func (c *Confirmation) ListFresh(now time.Time) bool {
	age := c.ListAge(now)
	return age >= 0 && age <= MaxAge
}
