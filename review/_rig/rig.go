package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/knapweedpoint/knapweedpoint/platform/fakestore"
)

// heartbeat is the interval at which targets renew their entries, as in the example of DEPLOY.md.
const heartbeat = 1200 * time.Millisecond

// rig is the environment of one case.
type rig struct {
	options options
	start   time.Time
	// network is the second byte of the loopback addresses of this run.
	network int
	dir     string
	store   *fakestore.Store
	storeAt string
	// reads receives a value after a read of the store, unless one waits already.
	reads chan struct{}
	ports ports

	recordMu sync.Mutex
	record   *bufio.Writer
	file     *os.File

	mu      sync.Mutex
	daemons []*daemon
	closers []func()
}

// ports are the ports of all daemons.
type ports struct{ callers, ready, peers, metrics, gossip int }

func newRig(o options) (*rig, error) {
	f, err := os.Create(o.record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	r := &rig{
		options: o, start: time.Now(), dir: dir, store: &fakestore.Store{PageSize: 500}, record: bufio.NewWriter(f), file: f,
		network: 20 + rand.IntN(200),
	}
	r.logf("case started, trouble %v", o.trouble)
	if err := r.serveStore(); err != nil {
		return nil, err
	}
	return r, r.choosePorts()
}

// address returns a loopback address of this run.
func (r *rig) address(block, host int) string {
	return fmt.Sprintf("127.%d.%d.%d", r.network, block, host)
}

func (r *rig) serveStore() error {
	l, err := net.Listen("tcp4", r.address(200, 1)+":0")
	if err != nil {
		return err
	}
	r.storeAt = l.Addr().String()
	r.reads = make(chan struct{}, 1)
	h := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		r.store.ServeHTTP(w, q)
		select {
		case r.reads <- struct{}{}:
		default:
		}
	})
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }()
	r.onClose(func() { _ = s.Close() })
	return nil
}

// choosePorts chooses ports that are free at the first daemon's address. No one else uses the addresses of this run.
func (r *rig) choosePorts() error {
	var chosen []int
	for range 5 {
		l, err := net.Listen("tcp4", r.address(1, 1)+":0")
		if err != nil {
			return err
		}
		defer func() { _ = l.Close() }()
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", r.address(1, 1), port))
		if err != nil {
			return err
		}
		defer func() { _ = u.Close() }()
		chosen = append(chosen, port)
	}
	r.ports = ports{callers: chosen[0], ready: chosen[1], peers: chosen[2], metrics: chosen[3], gossip: chosen[4]}
	return nil
}

// logf writes one line to the record.
func (r *rig) logf(format string, args ...any) {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	fmt.Fprintf(r.record, "%9.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.record, format, args...)
	_ = r.record.WriteByte('\n')
}

func (r *rig) onClose(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closers = append(r.closers, f)
}

// close ends all processes and writes the record.
func (r *rig) close() {
	r.mu.Lock()
	daemons, closers := r.daemons, r.closers
	r.mu.Unlock()
	for _, d := range daemons {
		d.kill()
	}
	for _, f := range closers {
		f()
	}
	r.recordMu.Lock()
	_ = r.record.Flush()
	_ = r.file.Close()
	r.recordMu.Unlock()
	_ = os.RemoveAll(r.dir)
}

// put writes a JSON value to the store.
func (r *rig) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	r.store.Put(key, data)
}

// daemon is one entry daemon.
type daemon struct {
	rig   *rig
	name  string
	zone  string
	ip    string
	seeds []string

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	starts  int
}

// newDaemon returns a daemon that is not started. Its seeds are the addresses of control interfaces.
func (r *rig) newDaemon(name, zone, ip string, seeds []string) *daemon {
	d := &daemon{rig: r, name: name, zone: zone, ip: ip, seeds: seeds}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.daemons = append(r.daemons, d)
	return d
}

// silentSeed returns the control address of a machine that is down: nothing answers there.
func (r *rig) silentSeed(ip string) (string, error) {
	address := fmt.Sprintf("%s:%d", ip, r.ports.peers)
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return "", err
	}
	r.onClose(func() { _ = l.Close() })
	return address, nil
}

// settings returns the settings that deploy/entry.json.tmpl gives with the values of the example in DEPLOY.md.
func (d *daemon) settings(first bool) map[string]any {
	p := d.rig.ports
	at := func(port int) string { return fmt.Sprintf("%s:%d", d.ip, port) }
	return map[string]any{
		"name": d.name, "availabilityZone": d.zone, "processor": 0.272, "memory": 206,
		"callers": at(p.callers), "readiness": at(p.ready), "peers": at(p.peers), "metrics": at(p.metrics), "gossip": at(p.gossip),
		"seeds": d.seeds, "store": d.rig.storeAt, "firstStart": first,
		"rules": map[string]any{
			"retryRatio": 0.2, "retrySlack": 113, "retryWindow": "10s", "coldOvershoot": 1.5, "coldSlack": 5,
			"drainBound": "3000ms", "grace": "6s", "heartbeat": fmt.Sprintf("%dms", heartbeat.Milliseconds()),
		},
	}
}

// launch starts the daemon with the command of the deploy file.
func (d *daemon) launch(first bool) error {
	data, err := json.Marshal(d.settings(first))
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.starts++
	path := filepath.Join(d.rig.dir, d.name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	out, err := os.Create(filepath.Join(d.rig.dir, fmt.Sprintf("%s-%d.log", d.name, d.starts)))
	if err != nil {
		return err
	}
	c := exec.Command(d.rig.options.binary, "entry", "--settings", path)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	d.rig.logf("start %s", d.name)
	d.command, d.done = c, make(chan struct{})
	done := d.done
	go func() {
		_ = c.Wait()
		_ = out.Close()
		close(done)
	}()
	return nil
}

// kill ends the daemon's process with SIGKILL and waits for its end.
func (d *daemon) kill() {
	d.mu.Lock()
	c, done := d.command, d.done
	d.mu.Unlock()
	if c == nil {
		return
	}
	select {
	case <-done:
		return
	default:
	}
	d.rig.logf("SIGKILL %s", d.name)
	_ = c.Process.Kill()
	<-done
}

// signal sends a signal to the daemon's process.
func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	c := d.command
	d.mu.Unlock()
	d.rig.logf("%v %s", s, d.name)
	_ = c.Process.Signal(s)
}

// ready asks the daemon for its readiness as the platform does.
func (d *daemon) ready() bool {
	c := http.Client{Timeout: time.Second}
	res, err := c.Get(fmt.Sprintf("http://%s:%d/-/ready", d.ip, d.rig.ports.ready))
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

var errNotReady = errors.New("daemons did not become ready")

// waitReady waits until all daemons are ready.
func waitReady(ds []*daemon) error {
	until := time.Now().Add(15 * time.Second)
	for _, d := range ds {
		for !d.ready() {
			if time.Now().After(until) {
				return errNotReady
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}
