package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/loopback"
	"github.com/knapweedpoint/knapweedpoint/platform/fakestore"
)

// Figures of the site file that all cases name.
const (
	program   = "target/knapweedpoint"
	heartbeat = 1200 * time.Millisecond
	grace     = 6 * time.Second
	memoryMiB = 206
)

// zones holds the zones of the site with the number of machines in each.
var zones = []struct {
	name     string
	machines int
}{{"bzh-west-a", 7}, {"bzh-west-b", 4}, {"bzh-west-c", 4}}

// daemon is one entry process.
type daemon struct {
	name, zone, ip, file string

	busy    sync.Mutex
	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

func (d *daemon) callers() string { return d.ip + ":8104" }

// fleet is the store, the daemons and the replicas of one run.
type fleet struct {
	dir      string
	network  *loopback.Network
	store    *fakestore.Store
	server   *http.Server
	address  string
	daemons  []*daemon
	replicas []*replica
	log      *record
	stop     chan struct{}
	group    sync.WaitGroup

	// silent is set while the store answers nothing. Nothing is written to it then.
	silent atomic.Bool

	mu      sync.Mutex
	version int
	ready   map[*daemon]bool
}

func newFleet(log *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-probe-")
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, store: &fakestore.Store{PageSize: 500}, log: log, stop: make(chan struct{}), ready: map[*daemon]bool{}}
	if f.network, err = loopback.Reserve(); err != nil {
		return f, err
	}
	l, err := net.Listen("tcp4", f.network.Host(0)+":0")
	if err != nil {
		return f, err
	}
	f.address = l.Addr().String()
	f.server = &http.Server{Handler: http.HandlerFunc(f.serveStore), ReadHeaderTimeout: time.Second}
	f.group.Go(func() { _ = f.server.Serve(l) })
	return f, nil
}

// serveStore answers a call to the store. While the store is silent, it answers nothing, also not to the calls that wait.
func (f *fleet) serveStore(w http.ResponseWriter, r *http.Request) {
	if f.silent.Load() {
		<-r.Context().Done()
		return
	}
	f.store.ServeHTTP(storeWriter{ResponseWriter: w, f: f, ctx: r.Context()}, r)
}

// storeWriter leaves out the header of restored stores, which the pages in force do not have.
type storeWriter struct {
	http.ResponseWriter
	f   *fleet
	ctx context.Context
}

// WriteHeader writes the status.
func (w storeWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the answer, or nothing if the store has fallen silent.
func (w storeWriter) Write(p []byte) (int, error) {
	if w.f.silent.Load() {
		<-w.ctx.Done()
		return 0, w.ctx.Err()
	}
	w.Header().Del("Store-Era")
	return w.ResponseWriter.Write(p)
}

// publish writes the next version of the configuration.
func (f *fleet) publish(document map[string]any) {
	f.mu.Lock()
	f.version += 3
	document["version"] = f.version
	f.mu.Unlock()
	data, err := json.Marshal(document)
	if err != nil {
		panic(err)
	}
	f.store.Put("op/config", data)
	f.log.printf("config version=%v", document["version"])
}

// settings returns the file that deploy/entry.json.tmpl renders for a daemon with the bounds of the site.
func (f *fleet) settings(d *daemon, seeds []string, firstStart bool) map[string]any {
	return map[string]any{
		"name": d.name, "availabilityZone": d.zone, "processor": 0.272, "memory": memoryMiB,
		"callers": d.callers(), "readiness": d.ip + ":8108", "peers": d.ip + ":8106", "metrics": d.ip + ":9102", "gossip": d.ip + ":7380",
		"seeds": seeds, "store": f.address, "firstStart": firstStart,
		"overload": map[string]any{"learnCapacity": true, "queueCalls": true, "refuseLate": true},
		"rules": map[string]any{
			"retryRatio": 0.2, "retrySlack": 116, "retryWindow": "10s", "coldOvershoot": 1.5, "coldSlack": 5,
			"drainBound": "3000ms", "grace": "6s", "heartbeat": "1200ms",
		},
	}
}

// startDaemons starts so many machines of the site, one of each zone in turn, and waits until they are ready.
func (f *fleet) startDaemons(n int) error {
	for i := 0; len(f.daemons) < n; i++ {
		for _, z := range zones {
			if i < z.machines && len(f.daemons) < n {
				f.daemons = append(f.daemons, &daemon{name: fmt.Sprintf("front-%s-%d", z.name, i+1), zone: z.name, ip: f.network.Host(len(f.daemons) + 1)})
			}
		}
	}
	seeds := []string{}
	for _, d := range f.daemons[:min(3, len(f.daemons))] {
		seeds = append(seeds, d.ip+":8106")
	}
	for _, d := range f.daemons {
		d.file = filepath.Join(f.dir, d.name+".json")
		data, _ := json.Marshal(f.settings(d, seeds, true))
		if err := os.WriteFile(d.file, data, 0o600); err != nil {
			return err
		}
		if err := f.start(d); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, d := range f.daemons {
		for !isReady(d) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s did not become ready", d.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
		f.setReady(d, true)
	}
	f.group.Go(f.balance)
	return nil
}

// start starts the process of a daemon with the command of the deploy file.
func (f *fleet) start(d *daemon) error {
	out, err := os.OpenFile(filepath.Join(f.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(program, "entry", "--settings", d.file)
	c.Stdout, c.Stderr = out, out
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	d.mu.Lock()
	d.process, d.exited = c, make(chan struct{})
	exited := d.exited
	d.mu.Unlock()
	f.log.printf("daemon start name=%s pid=%d", d.name, c.Process.Pid)
	f.group.Go(func() {
		err := c.Wait()
		f.log.printf("daemon end name=%s pid=%d result=%v", d.name, c.Process.Pid, err)
		close(exited)
	})
	return nil
}

// signal sends a signal to the process of a daemon.
func (f *fleet) signal(d *daemon, s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f.log.printf("daemon signal name=%s signal=%s", d.name, s)
	_ = d.process.Process.Signal(s)
}

func (f *fleet) setReady(d *daemon, ready bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ready[d] = ready
}

func isReady(d *daemon) bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + d.ip + ":8108/-/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// balance asks each daemon once a second whether it is ready. Two misses take it out.
func (f *fleet) balance() {
	misses := map[*daemon]int{}
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	for {
		select {
		case <-f.stop:
			return
		case <-tick.C:
		}
		var asked sync.WaitGroup
		var mu sync.Mutex
		for _, d := range f.daemons {
			asked.Go(func() {
				ok := isReady(d)
				mu.Lock()
				defer mu.Unlock()
				if misses[d]++; ok {
					misses[d] = 0
				}
				f.setReady(d, misses[d] < 2)
			})
		}
		asked.Wait()
	}
}

// pick returns the daemon that the balancer chooses for a client: by a hash among the ready ones of its zone, or of all.
func (f *fleet) pick(zone string, hash int) *daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	var near, far []*daemon
	for _, d := range f.daemons {
		switch {
		case !f.ready[d]:
		case d.zone == zone:
			near = append(near, d)
		default:
			far = append(far, d)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		near = f.daemons
	}
	return near[hash%len(near)]
}

// close ends all processes that were started and removes the folder.
func (f *fleet) close() {
	close(f.stop)
	for _, d := range f.daemons {
		if d.process != nil {
			_ = d.process.Process.Signal(syscall.SIGCONT)
			_ = d.process.Process.Kill()
			<-d.exited
		}
	}
	for _, r := range f.replicas {
		r.close()
	}
	if f.server != nil {
		_ = f.server.Close()
	}
	f.group.Wait()
	if f.network != nil {
		_ = f.network.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}
