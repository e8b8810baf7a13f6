package configuration

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/layout"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

func TestOfferNeverGoesBack(t *testing.T) {
	tree := layout.Small().Tree(func(string) string { return "127.0.0.1:1" })
	at := func(revision uint64, state string) []byte {
		raw, err := json.Marshal(tree.WithRevision(revision).WithZoneState("a", state))
		require.NoError(t, err)
		return raw
	}
	steps := []struct {
		name    string
		offered []byte
		verdict Verdict
		inForce uint64
	}{
		{"invalid first", at(1, "sideways"), Refused{}, 0},
		{"first", at(3, settings.ZoneIn), Accepted{}, 3},
		{"same", at(3, settings.ZoneOut), Unchanged{}, 3},
		{"older", at(2, settings.ZoneIn), Outdated{}, 3},
		{"invalid and later", at(4, "sideways"), Refused{}, 3},
		{"not JSON", []byte(`{`), Refused{}, 3},
		{"later", at(5, settings.ZoneOut), Accepted{}, 5},
		{"between those accepted", at(4, settings.ZoneIn), Outdated{}, 5},
	}
	a := &Acceptor{Board: &blackboard.Board{}}
	for _, s := range steps {
		require.IsType(t, s.verdict, a.Offer(s.offered, "test"), s.name)
		require.Equal(t, s.inForce, a.Revision(), s.name)
	}
	require.True(t, a.Board.Tree.Get().ZoneTakenOut("a"))
}
