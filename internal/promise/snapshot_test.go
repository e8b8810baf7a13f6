package promise

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/fleetsim"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// TestSnapshotRollsWhileSearchesRun publishes a snapshot with other partitions under search traffic while the targets load it
// one after another.
func TestSnapshotRollsWhileSearchesRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := smallFleet(11)
		o.StartWarm = true
		f := fleetsim.NewFleet(o)
		defer f.Close()
		current := map[string][]string{
			"visitSearch-01": {"p-visitSearch-01"}, "visitSearch-02": {"p-visitSearch-02"},
			"visitSearch-03": {"p-visitSearch-03"}, "visitSearch-04": {"p-visitSearch-04"},
		}
		next := map[string][]string{
			"visitSearch-01": {"q-1"}, "visitSearch-02": {"q-1", "q-2"}, "visitSearch-03": {"q-3"}, "visitSearch-04": {"q-2", "q-4", "q-5"},
		}
		load := func(service, replica string, snaps map[string][]string) {
			f.Targets[service+replica].SetSnapshots(snaps)
		}
		for s, ps := range current {
			load(s, "-1", map[string][]string{"s1": ps})
			load(s, "-2", map[string][]string{"s1": ps})
		}
		time.Sleep(5 * time.Second)
		s := &fleetsim.Traffic{Fleet: f, Group: "visitSearch", Kind: settings.KindSearch, Rate: 60, Seed: 4}
		done := make(chan struct{})
		f.Daemons[0].Node.Group.Go(func() {
			s.Run(15 * time.Second)
			close(done)
		})
		time.Sleep(2 * time.Second)
		f.Publish(withSnapshot(f.Tree, next))
		for _, r := range []string{"-1", "-2"} {
			for service, ps := range next {
				time.Sleep(500 * time.Millisecond)
				load(service, r, map[string][]string{"s1": current[service], "s2": ps})
			}
		}
		time.Sleep(3 * time.Second)
		for service, ps := range next {
			load(service, "-1", map[string][]string{"s2": ps})
			load(service, "-2", map[string][]string{"s2": ps})
		}
		<-done
		used := map[string]int{}
		for _, x := range s.Samples {
			used[x.Answer.Snapshot]++
		}
		t.Log(used, s.Outcomes(), s.MeanCoverage())
		require.Empty(t, fleetsim.Verify(f, s))
		require.Positive(t, used["s1"])
		require.Positive(t, used["s2"])
		require.GreaterOrEqual(t, float64(s.Outcomes()["done "])/float64(len(s.Samples)), 0.97)
		require.GreaterOrEqual(t, s.MeanCoverage(), 0.97)
	})
}

func withSnapshot(t settings.Tree, next map[string][]string) settings.Tree {
	var ps []settings.Partition
	services := map[string][]string{}
	for service, names := range next {
		for _, n := range names {
			services[n] = append(services[n], service)
		}
	}
	for name, ss := range services {
		ps = append(ps, settings.Partition{Name: name, Records: 700, Services: ss})
	}
	team := t.Teams["visits"]
	g := team.Groups["visitSearch"]
	g.Snapshots = append([]settings.Snapshot{{Name: "s2", Partitions: ps}}, g.Snapshots...)
	groups := map[string]settings.Group{"visitSearch": g, "jobCards": team.Groups["jobCards"], "grants": team.Groups["grants"]}
	team.Groups = groups
	t.Teams = map[string]settings.Team{"visits": team}
	t.Revision++
	return t
}
