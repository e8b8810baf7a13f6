package operatorstate

import (
	"slices"

	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
)

// State is the state published by operators. It is immutable, and its zero value holds no configuration.
type State struct {
	// Table is the latest configuration, or nil before the first one.
	Table *routetable.Table
	// Document is the published document that Table was decoded from; it is sent to peers that lack it.
	Document []byte
	// ZonesOut are the availability zones taken out of service, sorted.
	ZonesOut []string
}

// Change is one change of the published state: Configuration, ZoneOut or ZoneBack.
type Change interface{ change() }

// Configuration is a newly published configuration.
type Configuration struct {
	Table    *routetable.Table
	Document []byte
}

// ZoneOut takes an availability zone out of service.
type ZoneOut struct{ Name string }

// ZoneRestored returns an availability zone to service.
type ZoneRestored struct{ Name string }

func (Configuration) change() {}
func (ZoneOut) change()       {}
func (ZoneRestored) change()  {}

// Version returns the version of the configuration, or 0 if there is none.
func (o State) Version() uint64 {
	if o.Table == nil {
		return 0
	}
	return o.Table.Version
}

// With returns the state with a change applied. A configuration that is not newer has no effect.
func (o State) With(c Change) State {
	switch c := c.(type) {
	case Configuration:
		if c.Table.Version > o.Version() {
			o.Table, o.Document = c.Table, c.Document
		}
	case ZoneOut:
		if !slices.Contains(o.ZonesOut, c.Name) {
			o.ZonesOut = slices.Sorted(slices.Values(append(slices.Clone(o.ZonesOut), c.Name)))
		}
	case ZoneRestored:
		o.ZonesOut = slices.DeleteFunc(slices.Clone(o.ZonesOut), func(n string) bool { return n == c.Name })
	}
	return o
}

// WithZonesOut returns the state with exactly these availability zones taken out.
func (o State) WithZonesOut(names []string) State {
	o.ZonesOut = slices.Sorted(slices.Values(names))
	return o
}
