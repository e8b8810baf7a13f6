package fleetsim

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/peer"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
	"github.com/knapweedpoint/knapweedpoint/pkg/platform"
	"github.com/knapweedpoint/knapweedpoint/pkg/target"
)

// Link controls the simulated connectivity of a daemon; its zero value delivers everything.
type Link struct {
	mu         sync.Mutex
	paused     chan struct{}
	cut        map[string]bool
	noPlatform bool
	dead       bool
	targets    func(address string) bool
}

// Pause suspends the daemon: what it sends or receives is held back until Resume.
func (l *Link) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused == nil {
		l.paused = make(chan struct{})
	}
}

// Resume releases what Pause holds back.
func (l *Link) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused != nil {
		close(l.paused)
		l.paused = nil
	}
}

// Cut drops what the daemon sends to the named daemons, replies included. It replaces the names of an earlier call.
func (l *Link) Cut(names ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = map[string]bool{}
	for _, n := range names {
		l.cut[n] = true
	}
}

// CutPlatform sets whether the daemon's calls to the platform fail.
func (l *Link) CutPlatform(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noPlatform = cut
}

func (l *Link) waitWhilePaused() {
	l.mu.Lock()
	paused := l.paused
	l.mu.Unlock()
	if paused != nil {
		<-paused
	}
}

func (l *Link) drops(to string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cut[to]
}

func (l *Link) isDead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dead
}

func (l *Link) platformUnreachable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.noPlatform || l.dead
}

// exchanger is a daemon's simulated transport to the other daemons.
type exchanger struct {
	fleet *Fleet
	self  *Daemon
}

type callResult[T any] struct {
	reply T
	err   error
}

// call runs f on the daemon at an address with the delays and losses of the simulated network. When ctx ends, call
// returns and f still runs to its end.
func call[T any](ctx context.Context, x *exchanger, address string, f func(d *Daemon) T) (T, error) {
	done := make(chan callResult[T], 1)
	x.fleet.group.Go(func() {
		v, err := transmit(x, address, f)
		done <- callResult[T]{v, err}
	})
	select {
	case o := <-done:
		return o.reply, o.err
	case <-ctx.Done():
		var zero T
		return zero, peer.Unacknowledged.Wrap(ctx.Err(), "no acknowledgement")
	}
}

func transmit[T any](x *exchanger, address string, f func(d *Daemon) T) (T, error) {
	var zero T
	x.self.Link.waitWhilePaused()
	d := x.fleet.Daemon(address)
	if x.self.Link.isDead() || d == nil || d.Link.isDead() {
		return zero, peer.NotSent.New("connection refused")
	}
	delay := x.fleet.delay(x.self.Zone, d.Zone)
	if x.self.Link.drops(d.Name) {
		time.Sleep(lossTimeout)
		return zero, peer.Unacknowledged.New("lost")
	}
	time.Sleep(delay)
	d.Link.waitWhilePaused()
	if d.Link.isDead() {
		return zero, peer.Unacknowledged.New("connection lost")
	}
	v := f(d)
	if d.Link.drops(x.self.Name) {
		time.Sleep(lossTimeout)
		return zero, peer.Unacknowledged.New("lost")
	}
	time.Sleep(delay)
	x.self.Link.waitWhilePaused()
	return v, nil
}

const (
	// lossTimeout is how long the sender of a lost message waits before it gets an error.
	lossTimeout = time.Second
	// platformDelay is the one-way delay between a daemon and the platform.
	platformDelay = 2 * time.Millisecond
)

// Exchange sends an envelope to a daemon and returns its acknowledgement.
func (x *exchanger) Exchange(ctx context.Context, address string, e *peerpb.Envelope) (*peerpb.Ack, error) {
	x.self.countEnvelope(e)
	return call(ctx, x, address, func(d *Daemon) *peerpb.Ack { return d.Node.Receive(e) })
}

// Configuration asks a daemon for a later configuration.
func (x *exchanger) Configuration(ctx context.Context, address string, q *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	return call(ctx, x, address, func(d *Daemon) *peerpb.ConfigurationReply { return d.Node.Configuration(q) })
}

// source is a daemon's simulated connection to the platform.
type source struct {
	fleet *Fleet
	self  *Daemon
}

func callPlatform[T any](s *source, f func() (T, error)) (T, error) {
	s.self.Link.waitWhilePaused()
	if s.self.Link.platformUnreachable() {
		var zero T
		return zero, platform.Unavailable.New("no connection to the platform")
	}
	time.Sleep(platformDelay)
	v, err := f()
	time.Sleep(platformDelay)
	s.self.Link.waitWhilePaused()
	if s.self.Link.platformUnreachable() {
		var zero T
		return zero, platform.Unavailable.New("connection to the platform lost")
	}
	return v, err
}

// Index returns the configuration's index once its revision differs from after, or when wait has passed.
func (s *source) Index(ctx context.Context, after uint64, wait time.Duration) (platform.Index, error) {
	return callPlatform(s, func() (platform.Index, error) { return s.fleet.Platform.Index(ctx, after, wait) })
}

// Team returns the settings subtree of a team.
func (s *source) Team(ctx context.Context, b platform.Branch) (json.RawMessage, error) {
	return callPlatform(s, func() (json.RawMessage, error) { return s.fleet.Platform.Team(ctx, b) })
}

// VMs returns the list of VMs once its revision differs from after, or when wait has passed.
func (s *source) VMs(ctx context.Context, after uint64, wait time.Duration) (platform.VMList, error) {
	return callPlatform(s, func() (platform.VMList, error) { return s.fleet.Platform.VMs(ctx, after, wait) })
}

// runner is a daemon's simulated transport to the targets.
type runner struct {
	target.Runner
	self *Daemon
}

// Run runs a batch on a target. A paused daemon sends its batch, or receives the reply, after Resume.
func (r *runner) Run(ctx context.Context, address string, b *target.Batch) (*target.Reply, error) {
	r.self.Link.waitWhilePaused()
	if r.self.Link.isDead() {
		return nil, target.NotSent.New("dead")
	}
	reply, err := r.Runner.Run(ctx, address, b)
	r.self.Link.waitWhilePaused()
	return reply, err
}

// Health asks a target for its health, like Run.
func (r *runner) Health(ctx context.Context, address string) (target.Health, error) {
	r.self.Link.waitWhilePaused()
	if r.self.Link.isDead() {
		return target.Health{}, target.NotSent.New("dead")
	}
	return r.Runner.Health(ctx, address)
}
