package promise

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/fleetsim"
	"github.com/knapweedpoint/knapweedpoint/pkg/caller"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// TestVerifySeesFalseAnswers corrupts one property of a correct answer at a time and requires that Verify reports it.
func TestVerifySeesFalseAnswers(t *testing.T) {
	cases := []struct {
		violation string
		corrupt   func(s *fleetsim.Sample)
	}{
		{"one snapshot", func(s *fleetsim.Sample) { s.ReplaceInItems(`"snapshot":"s1"`, `"snapshot":"s0"`) }},
		{"own answer", func(s *fleetsim.Sample) { s.Body = `{"n":"another"}` }},
		{"whole answer", func(s *fleetsim.Sample) { s.ReplaceInItems("p-visitSearch-02", "p-visitSearch-01") }},
		{"coverage", func(s *fleetsim.Sample) {
			c := *s.Answer.Coverage
			c.Covered--
			s.Answer.Coverage = &c
		}},
		{"coverage", func(s *fleetsim.Sample) { s.ReplaceInItems("p-visitSearch-02", "p-unknown") }},
		{"not run", func(s *fleetsim.Sample) { s.Answer = caller.Answer{Outcome: "notRun"} }},
	}
	for _, c := range cases {
		t.Run(c.violation, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				o := smallFleet(1)
				o.StartWarm = true
				f := fleetsim.NewFleet(o)
				defer f.Close()
				time.Sleep(5 * time.Second)
				s := &fleetsim.Traffic{Fleet: f, Group: "visitSearch", Kind: settings.KindSearch, Rate: 10, Seed: 1}
				s.Run(time.Second)
				require.Empty(t, fleetsim.Verify(f, s))
				c.corrupt(&s.Samples[0])
				require.True(t, lo.SomeBy(fleetsim.Verify(f, s), func(v string) bool { return strings.HasPrefix(v, c.violation) }))
			})
		})
	}
}
