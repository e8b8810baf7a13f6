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

// Change is one change of the published state: Configuration, ZoneOut or ZoneRestored.
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
func (s State) Version() uint64 {
	if s.Table == nil {
		return 0
	}
	return s.Table.Version
}

// With returns the state with a change applied. A configuration that is not newer has no effect.
func (s State) With(c Change) State {
	switch c := c.(type) {
	case Configuration:
		if c.Table.Version > s.Version() {
			s.Table, s.Document = c.Table, c.Document
		}
	case ZoneOut:
		if !slices.Contains(s.ZonesOut, c.Name) {
			s.ZonesOut = slices.Sorted(slices.Values(append(slices.Clone(s.ZonesOut), c.Name)))
		}
	case ZoneRestored:
		s.ZonesOut = slices.DeleteFunc(slices.Clone(s.ZonesOut), func(n string) bool { return n == c.Name })
	}
	return s
}

// WithZonesOut returns the state with exactly these availability zones taken out.
func (s State) WithZonesOut(names []string) State {
	s.ZonesOut = slices.Sorted(slices.Values(names))
	return s
}
