package measure

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/fleetsim"
	"github.com/knapweedpoint/knapweedpoint/internal/heartbeat"
	"github.com/knapweedpoint/knapweedpoint/internal/layout"
	"github.com/knapweedpoint/knapweedpoint/internal/policy"
)

var figuresPath = flag.String("figures", "", "file to append the results to, as rows of a Markdown table")

// scale triples the duration of a run whose results are written to a file.
func scale(d time.Duration) time.Duration {
	if *figuresPath != "" {
		return 3 * d
	}
	return d
}

// runScenario runs a scenario and logs its result as a row of a table, also to the file of -figures.
func runScenario(t *testing.T, name string, s Scenario) Result {
	t.Helper()
	var out Result
	synctest.Test(t, func(*testing.T) { out = Run(s) })
	row := fmt.Sprintf("| %s | %d | %.4f | %.1f | %.1f | %.1f | %.5f | %+.3f | %.1f | %d | %.3f |\n", name, out.Requests, out.DoneRatio,
		milliseconds(out.P50), milliseconds(out.P99), milliseconds(out.P999), out.Coverage, out.ExtraRatio, out.ColdPeak, out.BatchesWhileOut, out.WorstSecond)
	t.Log(row, out.Outcomes)
	if *figuresPath != "" {
		require.NoError(t, appendLine(*figuresPath, row))
	}
	return out
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

type deploymentCase struct {
	name       string
	deployment layout.Deployment
}

func deployments() []deploymentCase {
	return []deploymentCase{{"tochtwering", layout.Tochtwering()}, {"pommeraie", layout.Pommeraie()}}
}

// restartDowntime is how long a target is down when it restarts.
const restartDowntime = 300 * time.Millisecond

// slowTargets makes 2 of the 40 targets 4 times as slow.
func slowTargets(f *fleetsim.Fleet) { AddStragglers(f, 20, 4) }

// comparePolicies runs a scenario under the three policies.
func comparePolicies(t *testing.T, name string, s Scenario) (relayed, direct, plain Result) {
	t.Helper()
	relayed = runScenario(t, name+", relayed", s)
	s.Policy = policy.Direct{}
	direct = runScenario(t, name+", direct", s)
	s.Policy = policy.Plain{}
	plain = runScenario(t, name+", plain", s)
	return relayed, direct, plain
}

func TestSearchTailWithStragglers(t *testing.T) { testStragglers(t, 0.3) }

func TestSearchTailWithStragglersAtHalfLoad(t *testing.T) { testStragglers(t, 0.5) }

func testStragglers(t *testing.T, load float64) {
	t.Helper()
	for _, d := range deployments() {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			name := fmt.Sprintf("%s, search, 2 of 40 targets 4x slow, load %.1f", d.name, load)
			s := Scenario{Deployment: d.deployment, Load: load, Duration: scale(4 * time.Second), During: slowTargets, Seed: 1, Deadline: 5 * time.Second}
			relayed, _, plain := comparePolicies(t, name, s)
			require.LessOrEqual(t, relayed.P99, 150*time.Millisecond)
			require.LessOrEqual(t, relayed.ExtraRatio, 0.05)
			require.LessOrEqual(t, 3*relayed.P99, plain.P99)
		})
	}
}

func TestLookupTailAtHighLoad(t *testing.T) {
	for _, d := range deployments() {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			s := Scenario{Deployment: d.deployment, Group: 2, Load: 0.8, Duration: scale(time.Second), Seed: 2, Deadline: 5 * time.Second}
			relayed, _, plain := comparePolicies(t, d.name+", look-up, load 0.8", s)
			require.LessOrEqual(t, relayed.ExtraRatio, 0.05)
			require.LessOrEqual(t, 2*relayed.P999, plain.P999)
		})
	}
}

func TestSearchTailAtHighLoad(t *testing.T) {
	for _, d := range deployments() {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			s := Scenario{Deployment: d.deployment, Load: 0.8, Duration: scale(time.Second), Seed: 3, Deadline: 5 * time.Second}
			relayed, _, plain := comparePolicies(t, d.name+", search, load 0.8", s)
			require.LessOrEqual(t, relayed.ExtraRatio, 0.05)
			require.LessOrEqual(t, 2*relayed.P999, plain.P999)
		})
	}
}

func TestExtraLoadInOverload(t *testing.T) {
	for _, d := range deployments() {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			s := Scenario{Deployment: d.deployment, Load: 1.5, Duration: scale(time.Second), Seed: 4}
			relayed, _, _ := comparePolicies(t, d.name+", search, load 1.5", s)
			require.LessOrEqual(t, relayed.ExtraRatio, 0.05)
		})
	}
}

func TestCoverageWithOneReplicaOfEachPairLost(t *testing.T) {
	for _, d := range deployments() {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			s := Scenario{Deployment: d.deployment, Load: 0.2, Duration: scale(4 * time.Second), Seed: 5, During: func(f *fleetsim.Fleet) {
				for name, tg := range f.Targets {
					if name[len(name)-1] == '1' {
						tg.Crash()
					}
				}
			}}
			relayed, _, _ := comparePolicies(t, d.name+", search, one replica of each pair lost, load 0.2", s)
			require.GreaterOrEqual(t, relayed.Coverage, 0.999)
		})
	}
}

func TestServiceAroundZoneOutAndBack(t *testing.T) {
	for _, d := range deployments() {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			s := Scenario{Deployment: d.deployment, Load: 0.2, Duration: scale(12 * time.Second), Seed: 6, During: func(f *fleetsim.Fleet) {
				ZoneOutAndBack(f, "b", 3*time.Second)
			}}
			relayed, _, _ := comparePolicies(t, d.name+", search, zone out and back cold, load 0.2", s)
			require.Zero(t, relayed.BatchesWhileOut)
			require.LessOrEqual(t, relayed.ColdPeak, 1.0)
			require.GreaterOrEqual(t, relayed.DoneRatio, 0.999)
			require.GreaterOrEqual(t, relayed.Coverage, 0.999)
		})
	}
}

func TestColdPeakWhenAZoneRestarts(t *testing.T) {
	for _, d := range deployments() {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			s := Scenario{Deployment: d.deployment, Load: 0.3, Duration: scale(4 * time.Second), Seed: 7, During: func(f *fleetsim.Fleet) {
				for _, tg := range f.TargetsInZone("a") {
					tg.Crash()
				}
				time.Sleep(restartDowntime)
				for _, tg := range f.TargetsInZone("a") {
					tg.Restart()
				}
			}}
			relayed, direct, plain := comparePolicies(t, d.name+", search, zone a restarts, load 0.3", s)
			require.LessOrEqual(t, relayed.ColdPeak, 1.0)
			require.Greater(t, direct.ColdPeak, 1.0)
			require.Greater(t, plain.ColdPeak, 1.0)
		})
	}
}

func TestBookingsOnAnOrdinaryDay(t *testing.T) {
	for _, d := range deployments() {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			s := Scenario{Deployment: d.deployment, Group: 3, Load: 0.005, Duration: scale(30 * time.Second), Seed: 8, Deadline: time.Second, During: func(f *fleetsim.Fleet) {
				for _, i := range []int{1, 5, 9} {
					victim := f.Daemons[i]
					f.Kill(victim)
					time.Sleep(2 * time.Second)
					f.PublishVMState(victim.Name, "")
					time.Sleep(2 * time.Second)
					f.Replace(victim)
					f.PublishVMState(victim.Name, "live")
					time.Sleep(2 * time.Second)
				}
			}}
			relayed := runScenario(t, d.name+", bookings, three VMs killed and replaced in a row, relayed", s)
			require.GreaterOrEqual(t, relayed.DoneRatio, 0.995)
		})
	}
}

// TestSilentColdStart guards against overload of targets that turn cold while their slots are full and their connections stay
// open, so that the daemons see it only in the next replies.
func TestSilentColdStart(t *testing.T) {
	s := Scenario{Deployment: layout.Pommeraie(), Load: 0.3, Duration: scale(2 * time.Second), Seed: 9, During: func(f *fleetsim.Fleet) {
		time.Sleep(time.Second)
		for _, tg := range f.TargetsInZone("a") {
			tg.TurnCold(false)
		}
	}}
	relayed := runScenario(t, "pommeraie, search, zone a silently cold, relayed", s)
	require.LessOrEqual(t, relayed.ColdPeak, 1.0)
}

// TestConfigurationAtFullSize publishes a configuration at the end of a platform outage that ended every daemon's watch, so
// that all daemons reconnect at once. The fleet of 450 daemons runs only when results are written to a file.
func TestConfigurationAtFullSize(t *testing.T) {
	for _, n := range []int{15, 60, 150, 450} {
		if n > 150 && *figuresPath == "" {
			continue
		}
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := runControlPlane(t, n)
			row := fmt.Sprintf("%d daemons: in force within %.2f s, %.0f reads/s at most, %.0f control B/s and %.1f envelopes/s a daemon",
				n, c.Propagation.Seconds(), c.PeakReads, c.BytesPerSecond, c.EnvelopesPerSecond)
			t.Log(row)
			if *figuresPath != "" {
				require.NoError(t, appendLine(*figuresPath+".control", "| "+fmt.Sprintf("%d | %.2f | %.0f | %.0f | %.1f", n, c.Propagation.Seconds(), c.PeakReads, c.BytesPerSecond, c.EnvelopesPerSecond)+" |\n"))
			}
			require.LessOrEqual(t, c.Propagation, 6*time.Second)
			require.LessOrEqual(t, c.PeakReads, 2000.0)
			if n > heartbeat.FullMeshLimit {
				require.LessOrEqual(t, c.BytesPerSecond, 3000.0)
			}
		})
	}
}

func runControlPlane(t *testing.T, n int) ControlPlane {
	t.Helper()
	var out ControlPlane
	synctest.Test(t, func(*testing.T) { out = RunControlPlane(layout.Small().WithVMs(n), 1) })
	return out
}

func appendLine(path, line string) error {
	w, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	if _, err := w.WriteString(line); err != nil {
		return err
	}
	return w.Close()
}
