package operatorstate_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/operatorstate"
	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
)

func configuration(version uint64) operatorstate.Configuration {
	return operatorstate.Configuration{Table: routetable.New(version, nil, nil, routetable.Limits{})}
}

func TestOlderConfigurationsAreIgnored(t *testing.T) {
	var state operatorstate.State
	for _, c := range []struct{ published, want uint64 }{{3, 3}, {2, 3}, {3, 3}, {9, 9}, {1, 9}} {
		state = state.With(configuration(c.published))
		require.Equal(t, c.want, state.Version())
	}
}

func TestZonesAreTakenOutAndRestored(t *testing.T) {
	var state operatorstate.State
	before := state.With(operatorstate.ZoneOut{Name: "b"})
	after := before.With(operatorstate.ZoneOut{Name: "a"}).With(operatorstate.ZoneOut{Name: "a"})
	require.Equal(t, []string{"a", "b"}, after.ZonesOut)
	require.Equal(t, []string{"b"}, before.ZonesOut, "states are immutable")
	require.Equal(t, []string{"b"}, after.With(operatorstate.ZoneRestored{Name: "a"}).ZonesOut)
	require.Equal(t, []string{"a", "b"}, after.ZonesOut)
	require.Empty(t, after.WithZonesOut(nil).ZonesOut)
}
