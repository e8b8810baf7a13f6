package orders_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/orders"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
)

func configuration(version uint64) orders.Configuration {
	return orders.Configuration{Table: routetable.New(version, nil, nil, routetable.Limits{})}
}

func TestOlderConfigurationsAreIgnored(t *testing.T) {
	var o orders.State
	for _, c := range []struct{ published, want uint64 }{{3, 3}, {2, 3}, {3, 3}, {9, 9}, {1, 9}} {
		o = o.With(configuration(c.published))
		require.Equal(t, c.want, o.Version())
	}
}

func TestZonesAreTakenOutAndRestored(t *testing.T) {
	var o orders.State
	before := o.With(orders.ZoneOut{Name: "b"})
	after := before.With(orders.ZoneOut{Name: "a"}).With(orders.ZoneOut{Name: "a"})
	require.Equal(t, []string{"a", "b"}, after.ZonesOut)
	require.Equal(t, []string{"b"}, before.ZonesOut, "states are immutable")
	require.Equal(t, []string{"b"}, after.With(orders.ZoneRestored{Name: "a"}).ZonesOut)
	require.Equal(t, []string{"a", "b"}, after.ZonesOut)
	require.Empty(t, after.WithZonesOut(nil).ZonesOut)
}
