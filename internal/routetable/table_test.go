package routetable_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/routetable"
)

func TestFindTakesTheLongestPrefixOfTheHost(t *testing.T) {
	table := routetable.New(7, []routetable.Route{
		{Name: "wide", Host: "a.example", Prefix: "/x/"},
		{Name: "narrow", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/y/z/"},
	}, nil, routetable.Limits{})
	for _, c := range []struct{ name, host, path, want string }{
		{"longest", "a.example", "/x/y/1", "narrow"},
		{"shorter", "a.example", "/x/1", "wide"},
		{"host decides first", "a.example", "/x/y/z/1", "narrow"},
		{"host with a port", "b.example:8080", "/x/y/z/", "other"},
		{"host in capitals", "B.Example", "/x/y/z/", "other"},
		{"no slash at the end", "a.example", "/x", ""},
		{"escaped slash stays raw", "a.example", "/x%2Fy/1", ""},
		{"unknown host", "c.example", "/x/1", ""},
		{"empty", "", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, ok := table.Find(c.host, c.path)
			require.Equal(t, c.want != "", ok)
			require.Equal(t, c.want, r.Name)
		})
	}
}
