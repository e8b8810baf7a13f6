package root

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/admission"
	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/budget"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
	"github.com/knapweedpoint/knapweedpoint/internal/placement"
	"github.com/knapweedpoint/knapweedpoint/internal/policy"
	"github.com/knapweedpoint/knapweedpoint/internal/quarantine"
	"github.com/knapweedpoint/knapweedpoint/internal/replicaselect"
	"github.com/knapweedpoint/knapweedpoint/internal/snapshot"
	"github.com/knapweedpoint/knapweedpoint/internal/stoplimit"
	"github.com/knapweedpoint/knapweedpoint/pkg/caller"
	"github.com/knapweedpoint/knapweedpoint/pkg/outcome"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
)

// Timeouts and limits of a root.
const (
	// AnswerMargin is how long before its deadline a query is answered with the results received so far.
	AnswerMargin = 5 * time.Millisecond
	// MaxAnswerBytes limits the size of the items in one answer; partitions that exceed it are reported as missing.
	MaxAnswerBytes = 16 << 20
	// RetryAfter is how long a caller is asked to wait after a refusal.
	RetryAfter = 500 * time.Millisecond
	// MinHedgeDelay is the shortest delay before a sub-request is hedged on another replica.
	MinHedgeDelay = 8 * time.Millisecond
	// MinRestart is the shortest remaining time for which a query is run again on another snapshot.
	MinRestart = 30 * time.Millisecond
)

// Sender sends messages to relays, witnesses and other daemons.
type Sender interface {
	// SendRequest sends a sub-request to a VM's relay.
	SendRequest(to string, q *peerpb.SubRequest)
	// SendCancel tells a VM's relay that the result of a sub-request is no longer needed.
	SendCancel(to string, id uint64)
	// SendClaim sends a claim to the witness on a VM.
	SendClaim(to string, c *peerpb.Claim)
	// SendOutcome reports a booking's outcome to the witness on a VM.
	SendOutcome(to string, o *peerpb.ClaimOutcome)
	// BroadcastSuspicion reports to all daemons a request that was in flight when a target's connection was lost.
	BroadcastSuspicion(s *peerpb.Suspicion)
}

// Question is one request of a caller.
type Question struct {
	Team  string
	Group string
	// Kind is one of the Kind constants of package settings.
	Kind string
	Body []byte
	// Key is the idempotency key of a booking.
	Key string
	// Deadline is how long the caller waits; 0 selects the group's deadline.
	Deadline time.Duration
}

// Root serves callers' requests; create it with NewRoot.
type Root struct {
	Board    *blackboard.Board
	Register *quarantine.Register
	Sender   Sender
	Group    *sync.WaitGroup
	Gate     admission.Gate
	Budget   budget.Bucket
	// Stop bounds all requests once the daemon was told to stop.
	Stop stoplimit.Limit
	// Policy defines how targets are reached; nil means policy.Relayed.
	Policy policy.Policy
	// BookingMargin is the longest time by which the VM lists of two daemons are assumed to differ.
	BookingMargin time.Duration
	Log           *zap.Logger
	// OnAnswer, when set, is called with each answer and the time that it took.
	OnAnswer func(q Question, a caller.Answer, took time.Duration)

	placement   placement.Table
	targetStats replicaselect.Tracker
	snapshots   snapshot.Selector
	ids         atomic.Uint64
	mu          sync.Mutex
	rng         *rand.Rand
	pending     map[uint64]chan<- reply
	claims      map[uint64]chan<- *peerpb.ClaimReply
	// bookings is the number of bookings whose outcome is not yet reported to the witnesses.
	bookings atomic.Int64
}

// reply is the response to one sub-request: its result, or unacknowledged if its relay did not acknowledge it;
// mayHaveArrived says whether the relay may have received such a sub-request all the same.
type reply struct {
	id             uint64
	result         *peerpb.SubResult
	unacknowledged bool
	mayHaveArrived bool
	arrived        time.Time
}

// NewRoot returns a root whose random choices derive from the seed. The numbers of its sub-requests and claims do not, because
// replies to those of an earlier process with the same seed may still arrive.
func NewRoot(seed uint64) *Root {
	r := &Root{rng: rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15))}
	r.pending = map[uint64]chan<- reply{}
	r.claims = map[uint64]chan<- *peerpb.ClaimReply{}
	r.ids.Store(rand.Uint64())
	return r
}

// Ask serves a request. The outcome in its answer always states correctly whether the request ran, did not run or may
// have run.
func (r *Root) Ask(ctx context.Context, q Question) caller.Answer {
	began := time.Now()
	a := r.serve(ctx, q)
	if r.OnAnswer != nil {
		r.OnAnswer(q, a, time.Since(began))
	}
	return a
}

func (r *Root) serve(ctx context.Context, q Question) caller.Answer {
	tree, refusal := r.ready()
	if refusal != "" {
		return notRun(refusal)
	}
	team, ok := tree.Teams[q.Team]
	group, known := team.Groups[q.Group]
	if !ok || !known || group.Kind != q.Kind {
		return notRun(caller.ReasonUnknownGroup)
	}
	if q.Deadline <= 0 {
		q.Deadline = group.Deadline.Std()
	}
	if !r.Stop.Accepts(time.Now(), q.Deadline) {
		return notRun(caller.ReasonStopping)
	}
	if !r.Gate.TryAcquire(team.Worth, maxWorth(tree)) {
		return notRun(caller.ReasonOverload)
	}
	defer r.Gate.Release()
	ctx, cancel := r.Stop.Context(ctx)
	defer cancel()
	if q.Kind == settings.KindBooking {
		return r.book(ctx, q, tree, team, group)
	}
	return r.read(ctx, q, tree, team, group)
}

// ready returns the configuration in force, or the reason why no request may run under it.
func (r *Root) ready() (*settings.Tree, string) {
	tree := r.Board.Tree.Get()
	switch {
	case tree == nil || r.Board.View.Get() == nil:
		return nil, caller.ReasonNotReady
	case !r.Board.Confirmation.Get().Fresh(time.Now()) && !policy.Omitted(r.Policy).Freshness:
		return nil, caller.ReasonStaleView
	default:
		return tree, ""
	}
}

// read runs a search or a lookup on one snapshot. If targets lack that snapshot, it runs the whole query once more on the
// next one.
func (r *Root) read(ctx context.Context, q Question, tree *settings.Tree, team settings.Team, group settings.Group) caller.Answer {
	fp := fingerprint(q)
	_, refused := r.Register.Verdict(fp, time.Now()).(quarantine.Refused)
	if refused && !policy.Omitted(r.Policy).Quarantine {
		return notRun(caller.ReasonQuarantined)
	}
	deadline := r.deadline(q)
	snap := r.snapshots.Pick(q.Team, q.Group, group, time.Now())
	first := r.run(ctx, newQuery(r, q, tree, team, group, snap, fp, deadline))
	if !first.snapshotMissing || time.Until(deadline) < MinRestart || ctx.Err() != nil {
		return first.answer()
	}
	r.snapshots.MarkMissing(q.Team, q.Group, snap.Name, time.Now())
	next, ok := snapshot.Next(group, snap.Name)
	if !ok {
		return first.answer()
	}
	second := r.run(ctx, newQuery(r, q, tree, team, group, next, fp, deadline))
	if second.coveredShare() < first.coveredShare() {
		return first.answer()
	}
	second.mayHaveRun = second.mayHaveRun || first.mayHaveRun
	return second.answer()
}

// deadline returns when the request is answered at the latest: shortly before its caller's deadline, or at the end of a stop.
func (r *Root) deadline(q Question) time.Time {
	return r.Stop.Bound(time.Now().Add(q.Deadline - min(AnswerMargin, q.Deadline/4)))
}

// DeliverResult passes a relay's result to the query that waits for it; a result that nothing waits for is dropped.
func (r *Root) DeliverResult(res *peerpb.SubResult) {
	r.deliver(reply{id: res.Id, result: res, arrived: time.Now()})
}

// Undelivered handles a sub-request that its relay did not acknowledge.
func (r *Root) Undelivered(q *peerpb.SubRequest, mayHaveArrived bool) {
	r.deliver(reply{id: q.Id, unacknowledged: true, mayHaveArrived: mayHaveArrived, arrived: time.Now()})
}

func (r *Root) deliver(rep reply) {
	r.mu.Lock()
	ch := r.pending[rep.id]
	r.mu.Unlock()
	if ch == nil {
		return
	}
	select {
	case ch <- rep:
	default:
	}
}

func (r *Root) addPending(ch chan<- reply) uint64 {
	id := r.ids.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending[id] = ch
	return id
}

func (r *Root) removePending(ids ...uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range ids {
		delete(r.pending, id)
	}
}

func (r *Root) newRand() *rand.Rand {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rand.New(rand.NewPCG(r.rng.Uint64(), r.rng.Uint64()))
}

// Pending returns the number of sub-requests that wait for a result.
func (r *Root) Pending() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending)
}

// Idle reports whether no booking runs, including those whose callers have been answered.
func (r *Root) Idle() bool {
	return r.bookings.Load() == 0
}

func notRun(reason string) caller.Answer {
	return caller.NewAnswer(outcome.NotRun{Reason: reason, RetryAfter: RetryAfter})
}

func unknown(reason string) caller.Answer {
	return caller.NewAnswer(outcome.Unknown{Reason: reason})
}

func maxWorth(tree *settings.Tree) float64 {
	return lo.Max(lo.Map(lo.Values(tree.Teams), func(t settings.Team, _ int) float64 { return t.Worth }))
}

// fingerprint hashes the content of a request, so that it is the same through whichever VM the request comes.
func fingerprint(q Question) uint64 {
	h := xxhash.New()
	for _, s := range []string{q.Team, q.Group, q.Kind, q.Key} {
		_, _ = h.WriteString(s)
		_, _ = h.WriteString("\x00")
	}
	_, _ = h.Write(q.Body)
	return h.Sum64()
}

// direct reports whether the policy sends all sub-requests through this daemon's own relay.
func (r *Root) direct() bool {
	switch r.Policy.(type) {
	case policy.Plain, policy.Direct:
		return true
	default:
		return false
	}
}
