package fleetsim

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/fakeplatform"
	"github.com/knapweedpoint/knapweedpoint/internal/faketarget"
	"github.com/knapweedpoint/knapweedpoint/internal/heartbeat"
	"github.com/knapweedpoint/knapweedpoint/internal/layout"
	"github.com/knapweedpoint/knapweedpoint/internal/node"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
	"github.com/knapweedpoint/knapweedpoint/internal/platformwatch"
	"github.com/knapweedpoint/knapweedpoint/internal/policy"
	"github.com/knapweedpoint/knapweedpoint/pkg/platform"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// Options configure a fleet.
type Options struct {
	Deployment layout.Deployment
	Policy     policy.Policy
	// BookingMargin overrides the daemons' default booking margin.
	BookingMargin time.Duration
	Seed          uint64
	// StartWarm starts the targets warm instead of cold.
	StartWarm bool
	// Target, if set, modifies the options of each target.
	Target func(o faketarget.Options) faketarget.Options
	Log    *zap.Logger
}

// Fleet is a simulated deployment: its daemons, its targets and the platform.
type Fleet struct {
	Options  Options
	Platform *fakeplatform.Platform
	Targets  map[string]*faketarget.Target
	Daemons  []*Daemon
	Tree     settings.Tree

	mu       sync.Mutex
	byName   map[string]*Daemon
	replaced []*Daemon
	zones    map[string]string
	group    sync.WaitGroup
}

// Daemon is one daemon of a fleet.
type Daemon struct {
	Name string
	Zone string
	Node *node.Node
	Link *Link
	// Envelopes and Bytes count the envelopes sent to other daemons; Bytes stays 0 without CountEnvelopeBytes.
	Envelopes atomic.Int64
	Bytes     atomic.Int64

	cancel     context.CancelFunc
	group      sync.WaitGroup
	countBytes bool
}

func (d *Daemon) countEnvelope(e *peerpb.Envelope) {
	d.Envelopes.Add(1)
	if d.countBytes {
		d.Bytes.Add(int64(proto.Size(e)))
	}
}

// NewFleet starts a fleet. It must be called inside a synctest bubble, and the fleet must be closed in the same bubble.
func NewFleet(o Options) *Fleet {
	f := &Fleet{
		Options: o, Platform: &fakeplatform.Platform{}, Targets: map[string]*faketarget.Target{},
		byName: map[string]*Daemon{}, zones: map[string]string{},
	}
	for _, t := range o.Deployment.TargetOptions() {
		t.Seed += o.Seed
		t.StartWarm = o.StartWarm
		if o.Target != nil {
			t = o.Target(t)
		}
		f.Targets[t.Name] = faketarget.New(t)
	}
	f.Tree = o.Deployment.Tree(func(name string) string { return targetAddress(name) })
	for _, sv := range f.Tree.Teams[o.Deployment.Team].Services {
		for _, tg := range sv.Targets {
			f.zones[tg.Address] = tg.AvailabilityZone
		}
	}
	f.Publish(f.Tree)
	f.Platform.PublishVMs(o.Deployment.VMList(func(vm string) string { return vm }))
	for i := range o.Deployment.VMs {
		f.Daemons = append(f.Daemons, f.Start(o.Deployment.VMName(i), o.Deployment.Zone(i)))
	}
	return f
}

// targetAddress derives a target's address from a hash of its name, because the settings require a numeric IP address.
func targetAddress(name string) string {
	h := uint32(2166136261)
	for _, c := range name {
		h = (h ^ uint32(c)) * 16777619
	}
	return fmt.Sprintf("127.%d.%d.%d:%d", byte(h>>24), byte(h>>16), byte(h>>8)|1, 1000+h%60000)
}

// Publish publishes a settings tree on the platform.
func (f *Fleet) Publish(t settings.Tree) {
	raw, err := json.Marshal(t)
	if err == nil {
		err = f.Platform.Publish(raw)
	}
	if err != nil {
		panic(err)
	}
	f.Tree = t
}

// Start starts the daemon of a VM, for the first time or in place of a killed one.
func (f *Fleet) Start(name, zone string) *Daemon {
	d := &Daemon{Name: name, Zone: zone, Link: &Link{}}
	seed := f.Options.Seed + uint64(len(f.byName)) + 1
	byAddress := lo.MapKeys(f.Targets, func(_ *faketarget.Target, n string) string { return targetAddress(n) })
	d.Node = node.New(node.Options{
		Name: name, Incarnation: fmt.Sprint(name, "/", seed), Seed: seed, Policy: f.Options.Policy,
		Runner: &runner{self: d, Runner: &faketarget.Runner{
			Lookup: func(a string) *faketarget.Target { return byAddress[a] },
			Delay:  func(a string) time.Duration { return f.delay(zone, f.zones[a]) },
		}},
		Exchanger:     &exchanger{fleet: f, self: d},
		BookingMargin: f.Options.BookingMargin, Log: f.Options.Log,
	})
	f.mu.Lock()
	f.byName[name] = d
	f.mu.Unlock()
	f.startLoops(d, seed)
	return d
}

func (f *Fleet) startLoops(d *Daemon, seed uint64) {
	var ctx context.Context
	ctx, d.cancel = context.WithCancel(context.Background())
	src := &source{fleet: f, self: d}
	w := &platformwatch.Watcher{Source: src, Receiver: d.Node, Acceptor: d.Node.Acceptor, Log: f.Options.Log}
	sender := &heartbeat.Sender{
		Board: d.Node.Board, Outboxes: d.Node.Outboxes, OnHeartbeat: d.Node.Relay.Expire,
		Confirm: d.Node.ConfirmByMajority, Rand: rand.New(rand.NewPCG(seed, seed)),
	}
	d.group.Go(func() { w.WatchList(ctx) })
	d.group.Go(func() {
		for d.Node.Board.View.Get().ListRevision == 0 && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
		for _, m := range d.Node.Board.View.Get().Peers() {
			d.group.Go(func() { d.Node.Fetch(ctx, m.Name) })
		}
		time.Sleep(10 * time.Millisecond)
		w.WatchTree(ctx)
	})
	d.group.Go(func() {
		time.Sleep(50 * time.Millisecond)
		for ctx.Err() == nil {
			d.Link.waitWhilePaused()
			if d.Node.Board.Tree.Get() != nil {
				sender.Send()
			}
			select {
			case <-time.After(heartbeat.Interval):
			case <-ctx.Done():
			}
		}
	})
	d.Node.Board.SetPhase(blackboard.Serving{})
}

// Daemon returns the daemon that was started last on a VM, or nil if there is none.
func (f *Fleet) Daemon(name string) *Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.byName[name]
}

// RandomDaemon returns a random daemon of the fleet.
func (f *Fleet) RandomDaemon(r *rand.Rand) *Daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.Daemons[r.IntN(len(f.Daemons))]
}

// Kill stops a daemon abruptly, as a crash does.
func (f *Fleet) Kill(d *Daemon) {
	d.Link.mu.Lock()
	d.Link.dead = true
	d.Link.mu.Unlock()
	d.Link.Resume()
	d.cancel()
}

// Replace starts a new daemon on the VM of a killed one.
func (f *Fleet) Replace(d *Daemon) *Daemon {
	n := f.Start(d.Name, d.Zone)
	f.mu.Lock()
	f.replaced = append(f.replaced, d)
	f.Daemons = lo.Map(f.Daemons, func(x *Daemon, _ int) *Daemon { return lo.Ternary(x == d, n, x) })
	f.mu.Unlock()
	return n
}

// PublishVMState publishes the list of VMs with the state of one VM changed. An empty state removes the VM from the
// list.
func (f *Fleet) PublishVMState(name, state string) {
	d := f.Options.Deployment
	vms := d.VMList(func(vm string) string { return vm })
	f.Platform.PublishVMs(lo.FilterMap(vms, func(vm platform.VM, _ int) (platform.VM, bool) {
		if vm.Name == name {
			vm.State = state
		}
		return vm, vm.State != ""
	}))
}

// Partition separates the daemons for which isolated returns true from the others, in both directions.
func (f *Fleet) Partition(isolated func(d *Daemon) bool) {
	for _, d := range f.Daemons {
		var names []string
		for _, o := range f.Daemons {
			if isolated(o) != isolated(d) {
				names = append(names, o.Name)
			}
		}
		d.Link.Cut(names...)
	}
}

// Heal reconnects and resumes every daemon and clears the platform's faults.
func (f *Fleet) Heal() {
	for _, d := range f.Daemons {
		d.Link.Cut()
		d.Link.CutPlatform(false)
		d.Link.Resume()
	}
	f.Platform.SetFaults(fakeplatform.Faults{})
}

// TargetsInZone returns the targets that the settings place in an availability zone.
func (f *Fleet) TargetsInZone(zone string) []*faketarget.Target {
	return lo.Values(lo.PickBy(f.Targets, func(n string, _ *faketarget.Target) bool { return f.zones[targetAddress(n)] == zone }))
}

func (f *Fleet) delay(a, b string) time.Duration {
	if a == b {
		return intraZoneDelay
	}
	return f.Options.Deployment.ZoneDelay
}

const (
	// intraZoneDelay is the one-way delay inside an availability zone.
	intraZoneDelay = 200 * time.Microsecond
	// settleTime is how long Close lets the daemons finish before it waits for their goroutines.
	settleTime = 5 * time.Second
)

// CountEnvelopeBytes makes the current daemons count the bytes of the envelopes that they send; a daemon started later
// doesn't.
func (f *Fleet) CountEnvelopeBytes() {
	for _, d := range f.Daemons {
		d.countBytes = true
	}
}

// Close clears all faults, stops the daemons and waits for every goroutine of the fleet.
func (f *Fleet) Close() {
	f.Heal()
	for _, t := range f.Targets {
		t.SetFaults(faketarget.Faults{})
	}
	for _, d := range f.Daemons {
		d.cancel()
	}
	// Work in flight still starts goroutines, and a WaitGroup may only be waited for after the last one has been started.
	time.Sleep(settleTime)
	for _, d := range append(f.replaced, f.Daemons...) {
		d.group.Wait()
		d.Node.Group.Wait()
	}
	f.group.Wait()
}
