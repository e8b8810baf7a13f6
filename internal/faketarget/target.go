package faketarget

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/joomcode/errorx"
	"github.com/samber/lo"

	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
	"github.com/knapweedpoint/knapweedpoint/pkg/target"
)

var namespace = errorx.NewNamespace("standtarget")

// Crashed is the error type of batches that were in flight when the target crashed, or that arrive while it is down.
var Crashed = namespace.NewType("crashed")

// Target is a fake target in memory; Server serves it over HTTP.
type Target struct {
	options Options

	mu              sync.Mutex
	faults          Faults
	rng             *rand.Rand
	starts          int
	coldBatchesLeft int
	inFlight        int
	queue           []chan struct{}
	record          Record
	down            bool
	crashed         chan struct{}
	unfrozen        chan struct{}
	// leavingFrom is when the incarnation may get nothing any more; holds are those that it has asked for.
	leavingFrom time.Time
	holds       []hold
}

// hold is a time within which a target wants no batch.
type hold struct{ from, until time.Time }

// New returns a target in its first incarnation.
func New(o Options) *Target {
	o = o.WithDefaults()
	t := &Target{options: o, rng: rand.New(rand.NewPCG(o.Seed, uint64(len(o.Name))+1))}
	t.record = Record{Name: o.Name, ColdCapacity: o.ColdCapacity, Runs: map[string]int{}, Bodies: map[string]int{}}
	t.startIncarnation()
	if o.StartWarm {
		t.coldBatchesLeft = 0
	}
	return t
}

func (t *Target) startIncarnation() {
	t.starts++
	t.coldBatchesLeft = t.options.WarmupBatches
	t.crashed = make(chan struct{})
	t.down = false
	t.leavingFrom, t.holds = time.Time{}, nil
}

// Restart starts a new, cold incarnation after a crash.
func (t *Target) Restart() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.startIncarnation()
}

// Crash fails every batch in flight; the target is down until Restart.
func (t *Target) Crash() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crash()
}

func (t *Target) crash() {
	if t.down {
		return
	}
	t.down = true
	t.record.Crashes++
	close(t.crashed)
	t.queue = nil
	t.inFlight = 0
}

// TurnCold makes the target cold without a crash. If announced is set, its incarnation changes as in a restart.
func (t *Target) TurnCold(announced bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.coldBatchesLeft = t.options.WarmupBatches
	if announced {
		t.starts++
	}
}

// Down reports whether the target has crashed and has not been restarted.
func (t *Target) Down() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.down
}

// SetFaults replaces the injected faults.
func (t *Target) SetFaults(f Faults) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.unfrozen != nil && !f.Frozen {
		close(t.unfrozen)
		t.unfrozen = nil
	}
	if t.unfrozen == nil && f.Frozen {
		t.unfrozen = make(chan struct{})
	}
	t.faults = f
}

// Faults returns the injected faults.
func (t *Target) Faults() Faults {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.faults
}

// SetSnapshots replaces the snapshots that the target holds, as in Options.Snapshots.
func (t *Target) SetSnapshots(s map[string][]string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.options.Snapshots = s
}

// Record returns a copy of the target's record.
func (t *Target) Record() Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.record
	r.Incarnation = t.incarnation()
	r.Cold = t.coldBatchesLeft > 0
	r.Runs = maps.Clone(r.Runs)
	r.Bodies = maps.Clone(r.Bodies)
	return r
}

func (t *Target) incarnation() string {
	return fmt.Sprintf("%s-%d", t.options.Name, t.starts)
}

// Health returns the health that the target reports.
func (t *Target) Health() target.Health {
	t.mu.Lock()
	defer t.mu.Unlock()
	return target.Health{Ready: true, Incarnation: t.incarnation()}
}

// Load returns the load that the target reports.
func (t *Target) Load() target.Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load()
}

func (t *Target) load() target.Load {
	if t.faults.MisreportLoad {
		return target.Load{Slots: t.options.Slots}
	}
	return target.Load{Slots: t.options.Slots, InFlight: t.inFlight, Queued: len(t.queue), Cold: t.coldBatchesLeft > 0}
}

// Run runs a batch, after waiting for a slot if all are busy. A refused batch is a reply with a refusal, not an error; the
// error is of type Crashed or that of ctx.
func (t *Target) Run(ctx context.Context, b *target.Batch) (*target.Reply, error) {
	t.mu.Lock()
	if t.down {
		t.mu.Unlock()
		return nil, Crashed.New("target is down")
	}
	crashed := t.crashed
	t.record.Batches++
	t.countUnwanted(time.Now())
	refusal := t.refusal(b)
	if t.faults.TakenOut && refusal != target.RefusalLate {
		t.record.BatchesWhileOut++
	}
	if refusal != "" {
		defer t.mu.Unlock()
		return t.reply(refusal, nil), nil
	}
	slot := t.acquireSlot()
	t.mu.Unlock()
	if slot != nil {
		if err := t.awaitSlot(ctx, slot, crashed); err != nil {
			return nil, err
		}
	}
	return t.execute(ctx, b, crashed)
}

func (t *Target) countUnwanted(now time.Time) {
	if !t.leavingFrom.IsZero() && now.After(t.leavingFrom) {
		t.record.BatchesAfterLeaving++
	}
	t.holds = slices.DeleteFunc(t.holds, func(h hold) bool { return !now.Before(h.until) })
	if slices.ContainsFunc(t.holds, func(h hold) bool { return now.After(h.from) }) {
		t.record.BatchesInHold++
	}
}

func (t *Target) refusal(b *target.Batch) string {
	switch {
	case t.faults.Draining:
		return target.RefusalDraining
	case time.Now().UnixMicro() > b.NotAfter:
		return target.RefusalLate
	case t.faults.Shed || (t.inFlight >= t.options.Slots && len(t.queue) >= t.options.Queue):
		t.record.Shed++
		return target.RefusalShed
	default:
		return ""
	}
}

// acquireSlot takes a free slot and returns nil, or it queues the batch and returns a channel that is closed when the batch
// gets a slot.
func (t *Target) acquireSlot() chan struct{} {
	if t.inFlight >= t.options.Slots {
		ch := make(chan struct{})
		t.queue = append(t.queue, ch)
		t.recordConcurrency(t.inFlight + len(t.queue))
		return ch
	}
	t.inFlight++
	t.recordConcurrency(t.inFlight)
	return nil
}

func (t *Target) recordConcurrency(n int) {
	t.record.PeakConcurrency = max(t.record.PeakConcurrency, n)
	if t.coldBatchesLeft > 0 {
		t.record.ColdPeakConcurrency = max(t.record.ColdPeakConcurrency, n)
	}
}

func (t *Target) awaitSlot(ctx context.Context, slot, crashed chan struct{}) error {
	select {
	case <-slot:
		return nil
	case <-crashed:
		return Crashed.New("crashed")
	case <-ctx.Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	before := len(t.queue)
	t.queue = slices.DeleteFunc(t.queue, func(c chan struct{}) bool { return c == slot })
	if len(t.queue) == before {
		t.releaseSlot(crashed)
	}
	return ctx.Err()
}

func (t *Target) releaseSlot(crashed chan struct{}) {
	if crashed != t.crashed || t.down {
		return
	}
	if len(t.queue) > 0 {
		close(t.queue[0])
		t.queue = t.queue[1:]
		return
	}
	t.inFlight--
}

func (t *Target) execute(ctx context.Context, b *target.Batch, crashed chan struct{}) (*target.Reply, error) {
	t.mu.Lock()
	for _, q := range b.Requests {
		t.record.Requests++
		t.recordRun(q)
		if t.faults.CrashOn != "" && strings.Contains(string(q.Body), t.faults.CrashOn) {
			t.crash()
		}
	}
	duration, unfrozen := t.serviceTime(len(b.Requests)), t.unfrozen
	t.mu.Unlock()
	err := waitServiceTime(ctx, duration, unfrozen, crashed)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.releaseSlot(crashed)
	if err != nil {
		return nil, err
	}
	results := lo.Map(b.Requests, func(q target.Request, _ int) target.Result { return t.result(q) })
	r := t.reply("", t.applyReplyFaults(results))
	t.coldBatchesLeft = max(t.coldBatchesLeft-1, 0)
	return r, nil
}

func (t *Target) recordRun(q target.Request) {
	switch {
	case q.Kind == settings.KindBooking:
		t.record.Runs[q.Key]++
	case len(t.record.Bodies) < MaxBodies:
		t.record.Bodies[string(q.Body)]++
	}
}

// waitServiceTime returns nil once the duration has passed and unfrozen, if not nil, has been closed.
func waitServiceTime(ctx context.Context, duration time.Duration, unfrozen, crashed chan struct{}) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	for done := false; !done; {
		select {
		case <-crashed:
			return Crashed.New("crashed")
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			done = unfrozen == nil
		}
		if !done {
			select {
			case <-unfrozen:
				done = true
			case <-crashed:
				return Crashed.New("crashed")
			case <-ctx.Done():
				return ctx.Err()
			}
		}
	}
	return nil
}

func (t *Target) serviceTime(requests int) time.Duration {
	mean := float64(t.options.ServiceTime) * (1 + t.options.AddedRequestCost*float64(requests-1))
	s := t.options.ServiceTimeLogStdDev
	d := mean * math.Exp(s*t.rng.NormFloat64()-s*s/2)
	if t.coldBatchesLeft > 0 {
		d *= t.options.ColdFactor
	}
	if t.faults.SlowFactor > 0 {
		d *= t.faults.SlowFactor
	}
	return time.Duration(d)
}

func (t *Target) reply(refusal string, results []target.Result) *target.Reply {
	r := &target.Reply{Target: t.options.Name, Incarnation: t.incarnation(), Load: t.load(), Refusal: refusal, Results: results}
	r.Leaving = t.faults.Leaving || t.faults.Draining
	from := time.Now().Add(NoticeTime)
	if r.Leaving && t.leavingFrom.IsZero() {
		t.leavingFrom = from
	}
	if refusal != "" && t.faults.RetryAfter > 0 {
		r.RetryAfter = t.faults.RetryAfter
		t.holds = append(t.holds, hold{from: from, until: time.Now().Add(time.Duration(r.RetryAfter * float64(time.Second)))})
	}
	return r
}

func (t *Target) result(q target.Request) target.Result {
	r := target.Result{ID: q.ID, Status: target.StatusDone, Snapshot: q.Snapshot, Partitions: q.Partitions, End: true}
	if q.Kind == settings.KindBooking {
		r.Items = json.RawMessage(fmt.Sprintf(`[{"booked":%q}]`, q.Key))
		r.Count = 1
		return r
	}
	held, ok := t.options.Snapshots[q.Snapshot]
	switch {
	case t.options.Snapshots != nil && !ok:
		return target.Result{ID: q.ID, Status: target.StatusNotRun, Reason: target.RefusalSnapshot}
	case ok && len(lo.Without(q.Partitions, held...)) > 0:
		return target.Result{ID: q.ID, Status: target.StatusNotRun, Reason: target.RefusalPartition}
	}
	items := lo.Map(q.Partitions, func(p string, _ int) string {
		return fmt.Sprintf(`{"partition":%q,"snapshot":%q,"body":%s}`, p, q.Snapshot, q.Body)
	})
	r.Items = json.RawMessage("[" + strings.Join(items, ",") + "]")
	r.Count = len(items)
	return r
}

// applyReplyFaults applies the injected faults that change the results of a reply.
func (t *Target) applyReplyFaults(rs []target.Result) []target.Result {
	for i := range rs {
		if t.faults.Truncate {
			rs[i].End = false
		}
		if t.faults.WrongSnapshot != "" {
			rs[i].Snapshot = t.faults.WrongSnapshot
		}
	}
	if t.faults.Reorder {
		slices.Reverse(rs)
	}
	if t.faults.Duplicate {
		rs = append(rs, rs...)
	}
	return rs
}
