package promise

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/fakeplatform"
	"github.com/knapweedpoint/knapweedpoint/internal/fleetsim"
	"github.com/knapweedpoint/knapweedpoint/internal/layout"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// propagationLimit bounds the time from the publication of a configuration until it is in force at every daemon; the
// requirement is "within seconds".
const propagationLimit = 6 * time.Second

func TestConfigurationInForceWithinSeconds(t *testing.T) {
	cases := []struct {
		name   string
		inject func(f *fleetsim.Fleet)
	}{
		{"quiet", func(*fleetsim.Fleet) {}},
		{"platform reachable from one daemon of 15", func(f *fleetsim.Fleet) {
			for _, d := range f.Daemons[1:] {
				d.Link.CutPlatform(true)
			}
		}},
		{"platform reachable from half the daemons, every daemon cut off from one peer", func(f *fleetsim.Fleet) {
			for i, d := range f.Daemons {
				d.Link.CutPlatform(i%2 == 0)
				d.Link.Cut(f.Daemons[(i+1)%len(f.Daemons)].Name)
			}
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				f := fleetsim.NewFleet(fleetsim.Options{Deployment: layout.Small().WithVMs(15), Seed: 1})
				defer f.Close()
				time.Sleep(3 * time.Second)
				c.inject(f)
				time.Sleep(2 * time.Second)
				f.Publish(f.Tree.WithRevision(2))
				published := time.Now()
				for _, d := range f.Daemons {
					for d.Node.Acceptor.Revision() < 2 {
						time.Sleep(10 * time.Millisecond)
						require.Less(t, time.Since(published), propagationLimit, d.Name)
					}
				}
				t.Log(time.Since(published))
			})
		})
	}
}

func TestConfigurationNeverReverts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleetsim.NewFleet(fleetsim.Options{Deployment: layout.Small(), Seed: 1})
		defer f.Close()
		time.Sleep(3 * time.Second)
		f.Publish(f.Tree.WithRevision(2))
		time.Sleep(2 * time.Second)
		f.Platform.SetFaults(fakeplatform.Faults{Stale: 1})
		replaced := f.Daemons[1]
		f.Kill(replaced)
		replacement := f.Replace(replaced)
		seen := uint64(0)
		for range 500 {
			time.Sleep(10 * time.Millisecond)
			for _, d := range []*fleetsim.Daemon{f.Daemons[0], f.Daemons[2]} {
				require.EqualValues(t, 2, d.Node.Acceptor.Revision())
			}
			require.GreaterOrEqual(t, replacement.Node.Acceptor.Revision(), seen)
			seen = replacement.Node.Acceptor.Revision()
		}
		require.EqualValues(t, 2, seen, "a new daemon adopts its peers' revision, not the platform's stale one")
	})
}

func TestCutOffDaemonIsNotReadyAndSendsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := fleetsim.NewFleet(fleetsim.Options{Deployment: layout.Small(), Seed: 1, StartWarm: true})
		defer f.Close()
		time.Sleep(5 * time.Second)
		d := f.Daemons[0]
		f.Partition(func(x *fleetsim.Daemon) bool { return x == d })
		d.Link.CutPlatform(true)
		time.Sleep(5 * time.Second)
		require.False(t, d.Node.Board.Confirmation.Get().Fresh(time.Now()))
		a := sendPoisonRequest(f, d, "visitSearch", settings.KindSearch)
		require.Equal(t, "notRun", a.Outcome)
		f.Heal()
		time.Sleep(2 * time.Second)
		require.Equal(t, "done", sendPoisonRequest(f, d, "visitSearch", settings.KindSearch).Outcome)
	})
}
