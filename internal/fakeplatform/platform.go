package fakeplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/pkg/platform"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// Faults are the faults that can be injected into the platform.
type Faults struct {
	// Down makes every call fail.
	Down bool `json:"down,omitempty"`
	// Stale is how many publications the served configuration is behind the newest one; 1 serves the one before it.
	Stale int `json:"stale,omitempty"`
	// VMListLag is the delay after which a published list of VMs is served; the first list is served at once.
	VMListLag settings.Duration `json:"listLag,omitempty"`
}

// publication is one published version of the configuration.
type publication struct {
	index platform.Index
	teams map[string]json.RawMessage
}

// vmPublication is one published list of VMs.
type vmPublication struct {
	list platform.VMList
	at   time.Time
}

// Platform is a fake platform in memory; its zero value has published nothing.
type Platform struct {
	mu        sync.Mutex
	faults    Faults
	history   []publication
	vmHistory []vmPublication
	changed   chan struct{}
	reads     int
}

// tree is a settings tree as operators publish it. The subtrees stay raw JSON and need not be valid settings.
type tree struct {
	Revision uint64                     `json:"revision"`
	Fleet    settings.Fleet             `json:"fleet"`
	Teams    map[string]json.RawMessage `json:"teams"`
}

// Publish publishes a settings tree. A revision of 0 is replaced by the one after the newest.
func (p *Platform) Publish(raw []byte) error {
	var t tree
	if err := json.Unmarshal(raw, &t); err != nil {
		return platform.Unavailable.Wrap(err, "publish")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.Revision == 0 {
		t.Revision = 1
		if n := len(p.history); n > 0 {
			t.Revision = p.history[n-1].index.Revision + 1
		}
	}
	pub := publication{index: platform.Index{Revision: t.Revision, Fleet: t.Fleet}, teams: t.Teams}
	for name, raw := range t.Teams {
		pub.index.Branches = append(pub.index.Branches, platform.Branch{Team: name, Digest: digest(raw)})
	}
	p.history = append(p.history, pub)
	p.notifyWatchers()
	return nil
}

func digest(raw []byte) string {
	return fmt.Sprintf("%016x", xxhash.Sum64(raw))
}

// PublishVMs publishes a list of VMs under the next revision.
func (p *Platform) PublishVMs(vms []platform.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := platform.VMList{Revision: uint64(len(p.vmHistory)) + 1, VMs: vms}
	p.vmHistory = append(p.vmHistory, vmPublication{list: l, at: time.Now()})
	p.notifyWatchers()
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.notifyWatchers()
}

// Reads returns the number of calls of Index, VMs and Team so far.
func (p *Platform) Reads() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

func (p *Platform) notifyWatchers() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

func (p *Platform) nextChange() <-chan struct{} {
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

// Index returns the configuration's index once its revision differs from after, or when wait has passed.
func (p *Platform) Index(ctx context.Context, after uint64, wait time.Duration) (platform.Index, error) {
	pub, err := await(ctx, p, wait, p.servedPublication, func(v publication) bool { return v.index.Revision != after })
	return pub.index, err
}

// VMs returns the list of VMs once its revision differs from after, or when wait has passed.
func (p *Platform) VMs(ctx context.Context, after uint64, wait time.Duration) (platform.VMList, error) {
	return await(ctx, p, wait, p.servedVMList, func(l platform.VMList) bool { return l.Revision != after })
}

// Team returns the subtree of a team that has the given digest, whichever publication it is from.
func (p *Platform) Team(_ context.Context, b platform.Branch) (json.RawMessage, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reads++
	if p.faults.Down {
		return nil, platform.Unavailable.New("down")
	}
	for _, pub := range p.history {
		if raw, ok := pub.teams[b.Team]; ok && digest(raw) == b.Digest {
			return raw, nil
		}
	}
	return nil, platform.Unavailable.New("no subtree of team %s with digest %s", b.Team, b.Digest)
}

// await returns the value once ready reports true for it, or the value as it is when wait has passed.
func await[T any](ctx context.Context, p *Platform, wait time.Duration, read func() (T, bool), ready func(T) bool) (T, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	p.mu.Lock()
	p.reads++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		v, ok := read()
		down, changed, lag := p.faults.Down, p.nextChange(), p.faults.VMListLag.Std()
		p.mu.Unlock()
		if down {
			return v, platform.Unavailable.New("down")
		}
		if ok && ready(v) {
			return v, nil
		}
		var poll <-chan time.Time
		if lag > 0 {
			poll = time.After(lagPollInterval)
		}
		select {
		case <-changed:
		case <-poll:
		case <-timer.C:
			if !ok {
				return v, platform.Unavailable.New("nothing published")
			}
			return v, nil
		case <-ctx.Done():
			return v, platform.Unavailable.Wrap(ctx.Err(), "watch cancelled")
		}
	}
}

// lagPollInterval is how often a watch looks for a delayed list of VMs that has become due.
const lagPollInterval = 100 * time.Millisecond

func (p *Platform) servedPublication() (publication, bool) {
	i := len(p.history) - 1 - p.faults.Stale
	if i < 0 {
		return publication{}, false
	}
	return p.history[i], true
}

func (p *Platform) servedVMList() (platform.VMList, bool) {
	due := lo.Filter(p.vmHistory, func(l vmPublication, i int) bool {
		return i == 0 || time.Since(l.at) >= p.faults.VMListLag.Std()
	})
	if len(due) == 0 {
		return platform.VMList{}, false
	}
	return due[len(due)-1].list, true
}
