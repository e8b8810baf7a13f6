package settings_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/layout"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// validTree returns the JSON text of a valid settings tree.
func validTree(tb testing.TB) string {
	tb.Helper()
	raw, err := json.Marshal(layout.Small().Tree(func(string) string { return "127.0.0.1:1" }))
	require.NoError(tb, err)
	return string(raw)
}

func TestParseNamesEveryProblemWithItsPath(t *testing.T) {
	cases := []struct {
		name     string
		from, to string
		path     string
	}{
		{"unknown key", `"slots":2`, `"slots":2,"slotz":3`, "$.teams.visits.services.visitSearch-01.slotz"},
		{"slots too many", `"slots":2`, `"slots":999`, "$.teams.visits.services.visitSearch-01.slots"},
		{"zone state", `"state":"in"`, `"state":"sideways"`, "$.fleet.availabilityZones[0].state"},
		{"address by name", `"127.0.0.1:1"`, `"host:1"`, "$.teams.visits.services.grants-01.targets[0].address"},
		{"unknown zone", `"availabilityZone":"a"`, `"availabilityZone":"z"`, "$.teams.visits.services.grants-01.targets[0].availabilityZone"},
		{"no revision", `"revision":1`, `"revision":0`, "$.revision"},
		{"unknown service", `"services":["visitSearch-01"]`, `"services":["other"]`, "$.teams.visits.groups.visitSearch.snapshots[0].partitions[0].services[0]"},
		{"negative records", `"records":1000`, `"records":-1`, "$.teams.visits.groups.grants.snapshots[0].partitions[0].records"},
		{"wrong kind", `"kind":"search"`, `"kind":"guess"`, "$.teams.visits.groups.visitSearch.kind"},
		{"not JSON", `{"revision"`, `{{"revision"`, "$"},
		{"wrong type", `"slots":2`, `"slots":"two"`, "$.teams.visits.services.visitSearch-01.slots"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tree, problems := settings.Parse([]byte(strings.ReplaceAll(validTree(t), c.from, c.to)))
			require.Nil(t, tree)
			paths := lo.Map(problems, func(p settings.Problem, _ int) string { return p.Path })
			require.Contains(t, paths, c.path)
		})
	}
	tree, problems := settings.Parse([]byte(validTree(t)))
	require.Empty(t, problems)
	require.Equal(t, settings.DefaultQueueLimit, tree.Teams["visits"].Services["grants-01"].QueueLimit)
}

func TestParseListsAllProblemsAtOnce(t *testing.T) {
	bad := strings.ReplaceAll(strings.ReplaceAll(validTree(t), `"slots":2`, `"slots":0`), `"state":"in"`, `"state":""`)
	bad = strings.Replace(bad, `"revision":1`, `"revision":0,"extra":true`, 1)
	_, problems := settings.Parse([]byte(bad))
	require.Len(t, problems, 4+3+1+1)
}

func TestParseDaemonNamesEveryProblem(t *testing.T) {
	_, problems := settings.ParseDaemon([]byte(`{"name":"a b","availabilityZone":"a","callers":"x","peers":"127.0.0.1:1","operators":"127.0.0.1:2","platform":"127.0.0.1:3","policy":"bold","drainLimit":"1h"}`))
	paths := lo.Map(problems, func(p settings.Problem, _ int) string { return p.Path })
	require.Equal(t, []string{"$.name", "$.callers", "$.policy", "$.drainLimit"}, paths)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validTree(f)))
	f.Add([]byte(`{"revision":1,"fleet":{"availabilityZones":[]},"teams":{"a":null}}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		tree, problems := settings.Parse(data)
		require.Equal(t, tree == nil, len(problems) > 0)
	})
}
