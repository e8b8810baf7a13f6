package process

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/fakeplatform"
	"github.com/knapweedpoint/knapweedpoint/internal/faketarget"
	"github.com/knapweedpoint/knapweedpoint/internal/fleetsim"
	"github.com/knapweedpoint/knapweedpoint/internal/loopback"
	"github.com/knapweedpoint/knapweedpoint/internal/operatorapi"
	"github.com/knapweedpoint/knapweedpoint/pkg/caller"
	"github.com/knapweedpoint/knapweedpoint/pkg/platform"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// waitTimeout bounds every wait; no test result depends on how long a wait takes.
const waitTimeout = 60 * time.Second

// fleet is a small deployment that runs in processes of its own.
type fleet struct {
	t         *testing.T
	network   *loopback.Network
	dir       string
	platform  string
	daemons   []*daemon
	targets   map[string]string
	processes map[string]*process
	group     sync.WaitGroup
}

// process is a started program. Its end fails the test unless the test stopped it.
type process struct {
	command *exec.Cmd
	stopped atomic.Bool
	ended   chan struct{}
	err     error
}

// Wait waits for the program's end and returns its error.
func (p *process) Wait() error {
	<-p.ended
	return p.err
}

type daemon struct {
	name, callers, operators, zone string
}

// bin is the directory of the compiled programs.
var bin string

// TestMain compiles the programs once for all tests.
func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	var err error
	if bin, err = os.MkdirTemp("", "process"); err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(bin) }()
	if out, err := exec.Command("go", "build", "-o", bin, "../../cmd/...").CombinedOutput(); err != nil {
		panic(fmt.Sprintf("%v: %s", err, out))
	}
	return m.Run()
}

func startFleet(t *testing.T, warm bool) *fleet {
	t.Helper()
	return startFleetWith(t, warm, func(d settings.Daemon) settings.Daemon { return d })
}

// startFleetWith starts a fleet with changed settings of its daemons.
func startFleetWith(t *testing.T, warm bool, change func(settings.Daemon) settings.Daemon) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir(), targets: map[string]string{}, processes: map[string]*process{}}
	var err error
	f.network, err = loopback.Reserve()
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, f.network.Close()) })
	t.Cleanup(f.stop)
	out, err := exec.Command(filepath.Join(bin, "standin"), "layout", "--dir", f.dir, "--host", f.network.Host(0)).CombinedOutput()
	require.NoError(t, err, string(out))
	f.platform = strings.TrimSpace(f.read("platform.txt"))
	f.start("platform", "standin", "platform", "--listen", f.platform, "--tree", f.path("tree.json"), "--vms", f.path("vms.json"))
	for line := range strings.Lines(f.read("targets.txt")) {
		name, address, _ := strings.Cut(strings.TrimSpace(line), " ")
		f.targets[name] = address
		f.startTarget(name, warm)
	}
	for line := range strings.Lines(f.read("daemons.txt")) {
		d := &daemon{}
		_, err := fmt.Sscan(line, &d.name, &d.callers, &d.operators, &d.zone)
		require.NoError(t, err)
		f.daemons = append(f.daemons, d)
		f.changeSettings(d, change)
		f.start(d.name, "knapweedpoint", "serve", "--settings", f.path("daemon-"+d.name+".json"))
	}
	for name, address := range f.targets {
		f.eventually(func() bool { return answers(address + faketarget.PathRecord) }, "%s answers", name)
	}
	for _, d := range f.daemons {
		f.eventually(func() bool { return f.ready(d) }, "%s is ready", d.name)
	}
	f.eventually(func() bool {
		a, err := f.client(f.daemons[0]).Search(context.Background(), "visits", "visitSearch", question("warm", time.Second))
		return err == nil && a.Coverage != nil && a.Coverage.Share == 1
	}, "a search covers all records")
	return f
}

func (f *fleet) changeSettings(d *daemon, change func(settings.Daemon) settings.Daemon) {
	file := "daemon-" + d.name + ".json"
	s, problems := settings.ParseDaemon([]byte(f.read(file)))
	require.Empty(f.t, problems)
	data, err := json.Marshal(change(s))
	require.NoError(f.t, err)
	require.NoError(f.t, os.WriteFile(f.path(file), data, 0o600))
}

func (f *fleet) startTarget(name string, warm bool) {
	args := []string{"target", "--options", f.path("target-" + name + ".json"), "--listen", f.targets[name]}
	if warm {
		args = append(args, "--start-warm")
	}
	f.start(name, "standin", args...)
}

func (f *fleet) path(name string) string { return filepath.Join(f.dir, name) }

func (f *fleet) read(name string) string {
	data, err := os.ReadFile(f.path(name))
	require.NoError(f.t, err)
	return string(data)
}

func (f *fleet) start(name, program string, args ...string) {
	out, err := os.Create(f.path(name + ".out"))
	require.NoError(f.t, err)
	c := exec.Command(filepath.Join(bin, program), args...)
	c.Stdout, c.Stderr = out, out
	reservation, err := f.network.File()
	require.NoError(f.t, err)
	c.ExtraFiles = []*os.File{reservation}
	require.NoError(f.t, c.Start())
	require.NoError(f.t, reservation.Close())
	p := &process{command: c, ended: make(chan struct{})}
	f.processes[name] = p
	f.group.Go(func() {
		p.err = c.Wait()
		_ = out.Close()
		if !p.stopped.Load() {
			data, _ := os.ReadFile(out.Name())
			f.t.Errorf("%s ended although nobody stopped it: %v\n%s", name, p.err, data)
		}
		close(p.ended)
	})
}

func (f *fleet) signal(name string, s syscall.Signal) {
	p := f.processes[name]
	if s != syscall.SIGSTOP && s != syscall.SIGCONT {
		p.stopped.Store(true)
	}
	require.NoError(f.t, p.command.Process.Signal(s))
}

func (f *fleet) stop() {
	for _, p := range f.processes {
		p.stopped.Store(true)
		_ = p.command.Process.Signal(syscall.SIGCONT)
		_ = p.command.Process.Kill()
	}
	f.group.Wait()
}

func (f *fleet) eventually(done func() bool, format string, args ...any) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if done() {
			return
		}
		if f.t.Failed() {
			f.t.FailNow()
		}
	}
	require.Failf(f.t, "not in time", format, args...)
}

func (f *fleet) ready(d *daemon) bool { return answers(d.operators + operatorapi.PathReady) }

// answers reports whether a GET request to a URL without its scheme is answered with status 200.
func answers(url string) bool {
	client := http.Client{Timeout: waitTimeout}
	resp, err := client.Get("http://" + url)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *fleet) client(d *daemon) *caller.Client { return caller.NewClient(d.callers) }

func (f *fleet) put(address, path string, v any) {
	body, err := json.Marshal(v)
	require.NoError(f.t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+address+path, bytes.NewReader(body))
	require.NoError(f.t, err)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(f.t, err)
	_ = resp.Body.Close()
	require.Equal(f.t, http.StatusNoContent, resp.StatusCode)
}

// publishLeaving publishes the list of VMs with the named ones in state leaving.
func (f *fleet) publishLeaving(names ...string) {
	var vms []platform.VM
	require.NoError(f.t, json.Unmarshal([]byte(f.read("vms.json")), &vms))
	for i := range vms {
		if slices.Contains(names, vms[i].Name) {
			vms[i].State = platform.VMLeaving
		}
	}
	f.put(f.platform, fakeplatform.PathPublishVMs, vms)
}

func (f *fleet) get(url string, into any) {
	resp, err := http.Get("http://" + url)
	require.NoError(f.t, err)
	defer func() { _ = resp.Body.Close() }()
	require.NoError(f.t, json.NewDecoder(resp.Body).Decode(into))
}

func (f *fleet) record(name string) faketarget.Record {
	var r faketarget.Record
	f.get(f.targets[name]+faketarget.PathRecord, &r)
	return r
}

func (f *fleet) tree() settings.Tree {
	t, problems := settings.Parse([]byte(f.read("tree.json")))
	require.Empty(f.t, problems)
	return *t
}

func question(text string, deadline time.Duration) caller.Question {
	body, _ := json.Marshal(map[string]string{"n": text})
	return caller.Question{Body: body, Deadline: deadline.String()}
}

// requireComplete fails unless the answer to a search has all records of its partitions and belongs to the request.
func requireComplete(t *testing.T, q caller.Question, a caller.Answer) {
	t.Helper()
	items, err := fleetsim.Items(a)
	require.NoError(t, err)
	partitions := map[string]bool{}
	for _, x := range items {
		require.JSONEq(t, string(q.Body), string(x.Body))
		require.Equal(t, a.Snapshot, x.Snapshot)
		require.False(t, partitions[x.Partition])
		partitions[x.Partition] = true
	}
	require.Equal(t, int64(1000*len(partitions)), a.Coverage.Covered)
}

// TestShutdownCutsOffNoRequest stops two of three daemons, one of them with a second signal, while they serve
// searches.
func TestShutdownCutsOffNoRequest(t *testing.T) {
	f := startFleet(t, true)
	var group sync.WaitGroup
	stop := make(chan struct{})
	failures := make(chan error, 10_000)
	for i, d := range f.daemons {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				// The load balancer sends no new requests to a daemon that is not ready.
				if !f.ready(d) {
					return
				}
				q := question(fmt.Sprintf("%d-%d", i, n), 2*time.Second)
				a, err := f.client(d).Search(context.Background(), "visits", "visitSearch", q)
				if err == nil && a.Outcome != "done" {
					err = fmt.Errorf("%s: %s %s", d.name, a.Outcome, a.Reason)
				}
				if err != nil {
					failures <- err
					continue
				}
				requireComplete(t, q, a)
			}
		})
	}
	time.Sleep(time.Second)
	f.signal(f.daemons[0].name, syscall.SIGTERM)
	f.signal(f.daemons[1].name, syscall.SIGTERM)
	f.publishLeaving(f.daemons[0].name, f.daemons[1].name)
	// The system merges a signal with an equal one that the process has not yet received.
	f.eventually(func() bool { return !f.ready(f.daemons[0]) }, "%s is not ready", f.daemons[0].name)
	f.signal(f.daemons[0].name, syscall.SIGTERM)
	for _, d := range f.daemons[:2] {
		require.NoError(t, f.processes[d.name].Wait(), f.read(d.name+".out"))
	}
	time.Sleep(time.Second)
	close(stop)
	group.Wait()
	close(failures)
	for err := range failures {
		require.NoError(t, err)
	}
	require.Contains(t, f.read(f.daemons[0].name+".out"), "secondSignal")
}

// TestStoppedDaemonWakesWithoutSendingToZoneTakenOut stops a daemon's process with SIGSTOP while the configuration
// takes its availability zone out.
func TestStoppedDaemonWakesWithoutSendingToZoneTakenOut(t *testing.T) {
	f := startFleet(t, true)
	stopped := f.daemons[0]
	f.signal(stopped.name, syscall.SIGSTOP)
	f.put(f.platform, fakeplatform.PathPublish, f.tree().WithZoneState(stopped.zone, settings.ZoneOut).WithRevision(2))
	var group sync.WaitGroup
	for i := range 40 {
		group.Go(func() {
			q := question(fmt.Sprintf("asleep-%d", i), 20*time.Second)
			a, err := f.client(stopped).Search(context.Background(), "visits", "visitSearch", q)
			if err == nil && a.Outcome == "done" {
				requireComplete(t, q, a)
			}
		})
	}
	time.Sleep(3 * time.Second)
	for name := range f.targets {
		if f.zoneOf(name) == stopped.zone {
			f.put(f.targets[name], faketarget.PathFaults, faketarget.Faults{TakenOut: true})
		}
	}
	f.signal(stopped.name, syscall.SIGCONT)
	group.Wait()
	f.eventually(func() bool { return f.status(stopped).ConfigurationRevision == 2 }, "the resumed daemon takes the new configuration")
	require.False(t, f.ready(stopped), "a daemon in an availability zone that is taken out is not ready")
	for name := range f.targets {
		require.Zero(t, f.record(name).BatchesWhileOut, name)
	}
}

func (f *fleet) zoneOf(target string) string {
	for _, sv := range f.tree().Teams["visits"].Services {
		for _, tg := range sv.Targets {
			if tg.Name == target {
				return tg.AvailabilityZone
			}
		}
	}
	return ""
}

func (f *fleet) status(d *daemon) operatorapi.Status {
	var s operatorapi.Status
	f.get(d.operators+operatorapi.PathStatus, &s)
	return s
}

// TestRestartedTargetIsRampedOverSockets kills a target under load and restarts it cold.
func TestRestartedTargetIsRampedOverSockets(t *testing.T) {
	f := startFleet(t, true)
	const victim = "visitSearch-01-1"
	stop := make(chan struct{})
	var group sync.WaitGroup
	for i := range 6 {
		group.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				q := question(fmt.Sprintf("%d-%d", i, n), time.Second)
				if a, err := f.client(f.daemons[i%3]).Search(context.Background(), "visits", "visitSearch", q); err == nil && a.Outcome == "done" {
					requireComplete(t, q, a)
				}
			}
		})
	}
	time.Sleep(time.Second)
	f.signal(victim, syscall.SIGKILL)
	_ = f.processes[victim].Wait()
	time.Sleep(500 * time.Millisecond)
	f.startTarget(victim, false)
	f.eventually(func() bool {
		resp, err := http.Get("http://" + f.targets[victim] + faketarget.PathRecord)
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return !f.record(victim).Cold
	}, "the target warms up")
	close(stop)
	group.Wait()
	r := f.record(victim)
	require.LessOrEqual(t, r.ColdPeakConcurrency, r.ColdCapacity)
}

// TestBookingRunsOnceOverSockets sends each key through all daemons concurrently while one daemon is killed.
func TestBookingRunsOnceOverSockets(t *testing.T) {
	f := startFleet(t, true)
	var group sync.WaitGroup
	for i := range 60 {
		key := fmt.Sprintf("key-%d", i)
		for _, d := range f.daemons {
			group.Go(func() {
				_, _ = f.client(d).Book(context.Background(), "visits", "grants", key, question(key, time.Second))
			})
		}
		time.Sleep(10 * time.Millisecond)
		if i == 30 {
			f.signal(f.daemons[2].name, syscall.SIGKILL)
		}
	}
	group.Wait()
	runs := map[string]int{}
	for name := range f.targets {
		for key, n := range f.record(name).Runs {
			runs[key] += n
		}
	}
	require.NotEmpty(t, runs)
	for key, n := range runs {
		require.Equal(t, 1, n, key)
	}
}

// TestLogsAreNumberedEventsWithoutRecords checks each line that a daemon logs for its event number and for the
// absence of request bodies.
func TestLogsAreNumberedEventsWithoutRecords(t *testing.T) {
	f := startFleet(t, true)
	_, err := f.client(f.daemons[0]).Search(context.Background(), "visits", "visitSearch", question("Dorpsstraat 12", time.Second))
	require.NoError(t, err)
	lines := bufio.NewScanner(strings.NewReader(f.read(f.daemons[0].name + ".out")))
	seen := 0
	for lines.Scan() {
		var line struct {
			Event int    `json:"event"`
			VM    string `json:"vm"`
		}
		require.NoError(t, json.Unmarshal(lines.Bytes(), &line))
		require.Positive(t, line.Event)
		require.Equal(t, f.daemons[0].name, line.VM)
		require.NotContains(t, lines.Text(), "Dorpsstraat")
		seen++
	}
	require.Positive(t, seen)
}
