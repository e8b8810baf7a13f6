package choice

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

const (
	// PatienceFactor times the usual duration is how long a call may take before its target counts as stalled
	// and a second send is due; with work spread by a third, some 1 in 20 calls takes longer.
	PatienceFactor = 1.8
	// fullFor is how long a target that refused a call is avoided: about one turn of its slots.
	fullFor = 15 * time.Millisecond
	// unreachableFor is how long a target that did not accept a connection is avoided: two heartbeats,
	// by when the platform has published its end or its new start.
	unreachableFor = 2500 * time.Millisecond
	// silentAfter is longer than a target's pause of 250 ms; silentPatience is the same for calls that last long anyway.
	silentAfter    = 300 * time.Millisecond
	silentPatience = 4
	// firstApart and maxApart bound how long a silent target is set apart before it is tried again; maxSilences
	// is when the one has grown to the other.
	firstApart  = 250 * time.Millisecond
	maxApart    = 2 * time.Second
	maxSilences = 3
	// failurePenalty is the share of a route's usual time, per recent failure, by which a target is taken to be later.
	failurePenalty = 3
	// hintPenalty is the share of a route's usual time by which a target is taken to be later that one peer, and no
	// other, waits for: more than half of such calls are only long ones.
	hintPenalty = 0.5
	// remotePenalty is how many times a route's usual time a target in another availability zone is taken to be later:
	// bytes between zones are dear, and objectives leave room for a call that takes three times the usual.
	remotePenalty = 2
	// spread is the random share by which expectations differ, so that daemons do not move in step.
	spread = 0.15
	// defaultSlots is taken for a target that does not state its slots.
	defaultSlots = 2
)

// Class names the calls that are expected to last equally long, and the objective of their route.
type Class struct {
	Name      string
	Objective time.Duration
}

// Book records how targets answer; its zero value knows nothing and is ready to use.
type Book struct {
	// AvailabilityZone is the daemon's own; targets elsewhere count as a little later.
	AvailabilityZone string

	mu      sync.Mutex
	records map[string]*record
	usual   map[string]*usual
}

// Choice is one target and how long it is expected to take.
type Choice struct {
	Target   inventory.Target
	Expected time.Duration
}

// Pick returns the candidate that is expected to answer soonest; false when there is none.
func (b *Book) Pick(c Class, candidates []inventory.Target, now time.Time) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best, bestCost := -1, 0.0
	var expected time.Duration
	for i, t := range candidates {
		e := b.expect(c, t, now)
		cost := float64(e) * (1 + spread*rand.Float64())
		if best < 0 || cost < bestCost {
			best, bestCost, expected = i, cost, e
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	return Choice{Target: candidates[best], Expected: expected}, true
}

// Usual returns how long calls of a class usually last.
func (b *Book) Usual(c Class) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usually(c).median
}

// Down reports whether a target did not accept a connection of late, left calls unanswered or is gone.
func (b *Book) Down(t inventory.Target, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.up(t, now)
}

// Candidates returns the targets that may answer: those that are up, or where there are none those that may be up again.
// The result may be the slice it was given.
func (b *Book) Candidates(targets []inventory.Target, now time.Time) []inventory.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	if lo.EveryBy(targets, func(t inventory.Target) bool { return b.up(t, now) }) {
		return targets
	}
	up := lo.Filter(targets, func(t inventory.Target, _ int) bool { return b.up(t, now) })
	if len(up) > 0 {
		return up
	}
	return lo.Reject(targets, func(t inventory.Target, _ int) bool { return b.record(t).gone })
}

func (b *Book) up(t inventory.Target, now time.Time) bool {
	r := b.records[t.ID]
	return r == nil || !r.tells(t) || !r.gone && !now.Before(r.downUntil)
}

func (b *Book) usually(c Class) *usual {
	u := b.usual[c.Name]
	if u == nil {
		if b.usual == nil {
			b.usual = map[string]*usual{}
		}
		u = newUsual(c.Objective)
		b.usual[c.Name] = u
	}
	return u
}

func (b *Book) record(t inventory.Target) *record {
	r := b.records[t.ID]
	if r == nil || !r.tells(t) {
		if b.records == nil {
			b.records = map[string]*record{}
		}
		r = &record{address: t.Address, born: t.Born, calls: map[*Ticket]struct{}{}}
		b.records[t.ID] = r
	}
	r.slots = t.Slots
	if r.slots <= 0 {
		r.slots = defaultSlots
	}
	return r
}

// expect returns how long a call that starts now is expected to take.
func (b *Book) expect(c Class, t inventory.Target, now time.Time) time.Duration {
	u := float64(b.usually(c).median)
	r := b.record(t)
	service := u * r.slowness(now)
	e := service * (1 + r.queue(now)/float64(r.slots))
	e += u * failurePenalty * r.failure(now)
	e += float64(r.overdue(now))
	switch n := r.stalled(now); {
	case n > 1:
		e += float64(hintValid)
	case n == 1:
		e += u * hintPenalty
	}
	if t.AvailabilityZone != b.AvailabilityZone {
		e += u * remotePenalty
	}
	for _, until := range []time.Time{r.fullUntil, r.downUntil} {
		if wait := until.Sub(now); wait > 0 {
			e += float64(wait)
		}
	}
	return time.Duration(e)
}

// Begin notes that a call starts.
func (b *Book) Begin(c Class, t inventory.Target, now time.Time) *Ticket {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.record(t)
	k := &Ticket{book: b, record: r, class: c, begun: now}
	k.ahead = r.queue(now) / float64(r.slots)
	k.patience = time.Duration(PatienceFactor * float64(b.usually(c).median))
	r.calls[k] = struct{}{}
	return k
}

// Stalled notes that a peer waits for a target that has stopped answering.
func (b *Book) Stalled(t inventory.Target, peer string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record(t).addStall(peer, now)
}

// Keep forgets all targets but the known ones.
func (b *Book) Keep(known func(target string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, r := range b.records {
		if !known(id) && len(r.calls) == 0 {
			delete(b.records, id)
		}
	}
}

// Ticket is one call under way.
type Ticket struct {
	book     *Book
	record   *record
	class    Class
	begun    time.Time
	ahead    float64
	patience time.Duration
}

// Patience is how long the call may take before its target counts as stalled.
func (k *Ticket) Patience() time.Duration { return k.patience }

// End notes how the call ended; cancelled says that the daemon itself broke it off.
func (k *Ticket) End(result targetcall.Result, cancelled bool, now time.Time) {
	k.book.mu.Lock()
	defer k.book.mu.Unlock()
	delete(k.record.calls, k)
	if cancelled {
		k.silent(now)
		return
	}
	switch x := result.(type) {
	case targetcall.Answered:
		k.answered(x, now)
	case targetcall.Refused:
		k.record.gone = k.record.gone || x.Elsewhere
		k.record.fullUntil = now.Add(fullFor)
		k.noteLoad(x.Load, now)
	case targetcall.NotSent:
		if x.Down {
			k.record.downUntil = now.Add(unreachableFor)
		}
	case targetcall.Unknown:
		k.record.addFailure(now)
	}
}

func (k *Ticket) answered(a targetcall.Answered, now time.Time) {
	k.noteLoad(a.Load, now)
	if !a.Final() {
		k.record.addFailure(now)
		return
	}
	k.record.stalls = nil
	k.record.silences = 0
	took := now.Sub(k.begun)
	u := k.book.usually(k.class)
	k.record.addRatio(float64(took)/(float64(u.median)*(1+k.ahead)), k.begun, now)
	u.add(took)
}

// silent sets a target apart that left a call unanswered for longer than a pause lasts; each further time for longer.
func (k *Ticket) silent(now time.Time) {
	if now.Sub(k.begun) < max(silentAfter, silentPatience*k.patience) {
		return
	}
	apart := min(firstApart<<k.record.silences, maxApart)
	k.record.silences = min(k.record.silences+1, maxSilences)
	k.record.downUntil = now.Add(apart)
}

func (k *Ticket) noteLoad(l targetcall.Load, now time.Time) {
	if l.Known {
		k.record.load = l
		k.record.loadAt = now
	}
}
