package orders

import (
	"slices"

	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
)

// Orders is what operators have published; it is immutable and its zero value holds no configuration.
type Orders struct {
	// Table is the newest configuration, nil before the first one.
	Table *routetable.Table
	// Document is the configuration as it was published, for peers that lack it.
	Document []byte
	// ZonesOut are the availability zones taken out, sorted.
	ZonesOut []string
}

// Change is one published order: Configuration, ZoneOut or ZoneBack.
type Change interface{ change() }

// Configuration is a configuration as it was published.
type Configuration struct {
	Table    *routetable.Table
	Document []byte
}

// ZoneOut takes an availability zone out.
type ZoneOut struct{ Name string }

// ZoneBack brings an availability zone back.
type ZoneBack struct{ Name string }

func (Configuration) change() {}
func (ZoneOut) change()       {}
func (ZoneBack) change()      {}

// Version returns the version of the configuration, 0 when there is none.
func (o Orders) Version() uint64 {
	if o.Table == nil {
		return 0
	}
	return o.Table.Version
}

// With returns the orders after a change; a configuration that is not newer changes nothing.
func (o Orders) With(c Change) Orders {
	switch c := c.(type) {
	case Configuration:
		if c.Table.Version > o.Version() {
			o.Table, o.Document = c.Table, c.Document
		}
	case ZoneOut:
		if !slices.Contains(o.ZonesOut, c.Name) {
			o.ZonesOut = slices.Sorted(slices.Values(append(slices.Clone(o.ZonesOut), c.Name)))
		}
	case ZoneBack:
		o.ZonesOut = slices.DeleteFunc(slices.Clone(o.ZonesOut), func(n string) bool { return n == c.Name })
	}
	return o
}

// WithZonesOut returns the orders with exactly these availability zones taken out.
func (o Orders) WithZonesOut(names []string) Orders {
	o.ZonesOut = slices.Sorted(slices.Values(names))
	return o
}
