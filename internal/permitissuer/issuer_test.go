package permitissuer_test

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/issuertable"
	"github.com/knapweedpoint/knapweedpoint/internal/permit"
	"github.com/knapweedpoint/knapweedpoint/internal/permitissuer"
)

var target = inventory.Target{ID: "t", AvailabilityZone: "a"}

// limited returns the resource of the target with the given limit.
func limited(perSecond float64) permit.Resource {
	return permit.ForTarget(target.ID, target.AvailabilityZone, perSecond)
}

// issued returns the number of permits that an issuer grants to requests every 10 ms for 8 s.
func issued(i *permitissuer.Issuer, perSecond float64, from time.Time) int {
	n := 0
	for ms := 0; ms < 8000; ms += 10 {
		if _, granted := i.Issue(limited(perSecond), permit.Grant{}, from.Add(time.Duration(ms)*time.Millisecond)).(permit.Granted); granted {
			n++
		}
	}
	return n
}

func TestIssueByPosition(t *testing.T) {
	now := time.Now()
	members := func(names ...string) []issuertable.Member {
		var out []issuertable.Member
		for _, n := range names {
			out = append(out, issuertable.Member{Name: n, AvailabilityZone: "a"})
		}
		return out
	}
	all := members("vm0", "vm1", "vm2", "vm3")
	ranked := issuertable.New("", all, 1).Issuers(target.ID, "a")
	notAnIssuer := "vm0"
	for _, m := range all {
		if !slices.Contains(ranked, m.Name) {
			notAnIssuer = m.Name
		}
	}
	for _, c := range []struct {
		name     string
		self     string
		members  []issuertable.Member
		reach    float64
		fullFrom time.Time
		limit    float64
		want     int
	}{
		{"first main issuer", ranked[0], all, 1, time.Time{}, 25, 100},
		{"second main issuer", ranked[1], all, 1, time.Time{}, 25, 100},
		{"fallback", ranked[2], all, 1, time.Time{}, 25, 50},
		{"only issuer", "vm0", members("vm0"), 1, time.Time{}, 25, 200},
		{"a few daemons are out of reach", ranked[0], all, 0.9, time.Time{}, 25, 100},
		{"half of the daemons are out of reach", ranked[0], all, 0.5, time.Time{}, 25, 62},
		{"handover", ranked[0], all, 1, now.Add(time.Hour), 25, 25},
		{"low limit", ranked[0], all, 1, time.Time{}, 2, 8},
		{"no issuer of the target", notAnIssuer, all, 1, time.Time{}, 25, 0},
		{"members unknown", "vm0", nil, 1, time.Time{}, 25, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			table := &blackboard.Cell[issuertable.Table]{}
			table.Set(issuertable.New(c.self, c.members, c.reach))
			i := &permitissuer.Issuer{Table: table}
			i.SetStart(time.Time{}, c.fullFrom)
			got := issued(i, c.limit, now)
			require.InDelta(t, c.want, got, 0.03*float64(c.want)+1)
		})
	}
}

func TestNothingIsIssuedBeforeTheStart(t *testing.T) {
	now := time.Now()
	table := &blackboard.Cell[issuertable.Table]{}
	table.Set(issuertable.New("vm0", []issuertable.Member{{Name: "vm0"}}, 1))
	i := &permitissuer.Issuer{Table: table}
	i.SetStart(now.Add(time.Second), now.Add(time.Second))
	require.IsType(t, permit.Denied{}, i.Issue(limited(25), permit.Grant{}, now))
	require.IsType(t, permit.Granted{}, i.Issue(limited(25), permit.Grant{}, now.Add(time.Second)))
}

// A limit of one request in 100 seconds may be a mistake of the target; its next answer shows whether it is.
func TestTheFirstPermitIsAvailableAtOnce(t *testing.T) {
	now := time.Now()
	table := &blackboard.Cell[issuertable.Table]{}
	table.Set(issuertable.New("vm0", []issuertable.Member{{Name: "vm0"}}, 1))
	i := &permitissuer.Issuer{Table: table}
	require.IsType(t, permit.Granted{}, i.Issue(limited(0.01), permit.Grant{}, now))
	denied, ok := i.Issue(limited(0.01), permit.Grant{}, now).(permit.Denied)
	require.True(t, ok)
	require.Equal(t, 100*time.Second, denied.RetryAfter)
	i.Retain(func(string) bool { return false })
	require.IsType(t, permit.Granted{}, i.Issue(limited(0.01), permit.Grant{}, now))
}
