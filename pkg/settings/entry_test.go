package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// validEntry is the JSON text of valid entry daemon settings.
const validEntry = `{"name":"vm-a1","availabilityZone":"a","callers":"10.0.0.1:80","readiness":"10.0.0.1:81","peers":"10.0.0.1:82",
"metrics":"10.0.0.1:83","gossip":"10.0.0.1:84","store":"10.0.0.9:90","rules":{"retryRatio":0.2,"retrySlack":113,"retryWindow":"10s",
"coldOvershoot":1.5,"coldSlack":5,"drainBound":"3000ms","grace":"6s","heartbeat":"1200ms"}}`

func TestParseEntry(t *testing.T) {
	e, problems := settings.ParseEntry([]byte(validEntry))
	require.Empty(t, problems)
	require.Equal(t, 3*time.Second, e.Rules.DrainBound.Std())
	require.Equal(t, settings.DefaultCallerMargin, e.Rules.CallerMargin.Std())
}

func TestParseEntryNamesEveryProblem(t *testing.T) {
	for _, c := range []struct{ name, old, replacement, path string }{
		{"no name", `"vm-a1"`, `""`, "$.name"},
		{"no port", `"10.0.0.1:80"`, `"10.0.0.1"`, "$.callers"},
		{"host by name", `"10.0.0.9:90"`, `"store:90"`, "$.store"},
		{"ratio above 1", `0.2`, `1.2`, "$.rules.retryRatio"},
		{"slack below 0", `113`, `-1`, "$.rules.retrySlack"},
		{"no duration", `"6s"`, `"soon"`, "$"},
		{"duration too long", `"6s"`, `"6h"`, "$.rules.grace"},
		{"unknown key", `"grace"`, `"graze"`, "$.rules.graze"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, problems := settings.ParseEntry([]byte(strings.Replace(validEntry, c.old, c.replacement, 1)))
			require.NotEmpty(t, problems)
			require.Contains(t, problems[0].Path, c.path)
		})
	}
}
