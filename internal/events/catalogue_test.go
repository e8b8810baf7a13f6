package events

import (
	"fmt"
	"os"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
)

// TestCatalogueListsEveryEvent keeps docs/EVENTS.md consistent with the code.
func TestCatalogueListsEveryEvent(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	require.NoError(t, err)
	for _, e := range All() {
		require.Contains(t, string(page), fmt.Sprintf("| %d | `%s` | %s |", e.Number, e.Name, e.Level))
	}
	numbers := lo.Map(All(), func(e Event, _ int) int { return e.Number })
	require.Equal(t, lo.Uniq(numbers), numbers)
	require.IsIncreasing(t, numbers)
}
