package coldstart

import "time"

// Constants of the ramp.
const (
	// RepliesPerStep is the number of replies, with a mean service time close to the typical one, that raises the
	// limit by one.
	RepliesPerStep = 8
	// RepliesPerFirstStep is RepliesPerStep for a target whose typical service time is not known.
	RepliesPerFirstStep = 48
	// SlowStepFactor times the typical service time is the bound for the mean of a ramp step.
	SlowStepFactor = 1.5
	// MaxSlowSteps is the number of ramp steps that may be too slow before their service time is accepted as typical:
	// a cold start does not last that long, but the effect of a new release or a slower machine does.
	MaxSlowSteps = 12
	// SlowReplyFactor times the typical service time is the bound above which a reply is slow.
	SlowReplyFactor = 3
	// MaxSlowReplies is the number of consecutive slow replies that turns a warm target cold.
	MaxSlowReplies = 4
	// MinSlowService is the service time up to which no reply is slow.
	MinSlowService = 10 * time.Millisecond
	// UnverifiedAfter is how long a warm target may go without a reply before it becomes unverified.
	UnverifiedAfter = 100 * time.Millisecond
	// ColdAfter is how long a target may go without a reply before it counts as cold.
	ColdAfter = 30 * time.Second

	typicalWeight = 0.05
	minTypical    = time.Millisecond
)

// State is a relay's estimate of a target: Cold, Unverified or Warm.
type State interface {
	state() string
}

// Cold is a target that has not completed the ramp since its start.
type Cold struct {
	// Step is the number of completed ramp steps: the requests in flight that the target may have above the
	// allowance.
	Step int
	// Replies counts the replies of the current ramp step; Sum is the sum of their service times.
	Replies int
	Sum     time.Duration
	// SlowSteps counts the ramp steps that were too slow.
	SlowSteps int
}

// Unverified is a target that was warm at its last reply; the next reply shows whether it has restarted.
type Unverified struct{}

// Warm is a target that may get its full load.
type Warm struct {
	// Slow counts the consecutive slow replies.
	Slow int
}

func (Cold) state() string       { return "cold" }
func (Unverified) state() string { return "unverified" }
func (Warm) state() string       { return "warm" }

// Reply holds the facts of one reply that the ramp uses.
type Reply struct {
	Incarnation string
	// Cold is the target's own report.
	Cold    bool
	Service time.Duration
	At      time.Time
}

// Ramp is the cold-start state of one target; its zero value is a cold target that has not replied yet.
type Ramp struct {
	incarnation string
	current     State
	typical     time.Duration
	last        time.Time
	// lost is the incarnation whose connection was lost; cold is the incarnation whose last reply left it cold.
	lost string
	cold string
}

// State returns the target's state at the given time.
func (r Ramp) State(now time.Time) State {
	idle := now.Sub(r.last)
	if r.current == nil || idle > ColdAfter {
		return Cold{}
	}
	if _, warm := r.current.(Warm); warm && idle > UnverifiedAfter {
		return Unverified{}
	}
	return r.current
}

// StateLabel returns the state as a label: "cold", "unverified" or "warm".
func (r Ramp) StateLabel(now time.Time) string {
	return r.State(now).state()
}

// Incarnation returns the incarnation of the last reply or of a trusted report.
func (r Ramp) Incarnation() string {
	return r.incarnation
}

// Typical returns the target's typical service time, 0 before the first reply.
func (r Ramp) Typical() time.Duration {
	return r.typical
}

// Limit returns how many requests the target may have in flight.
func (r Ramp) Limit(now time.Time, allowance, slots int) int {
	switch s := r.State(now).(type) {
	case Cold:
		return min(allowance+s.Step, slots)
	case Unverified:
		return min(allowance, slots)
	default:
		return slots
	}
}

// Batch returns how many sub-requests may share one request to the target: limit when it is warm, otherwise 1.
func (r Ramp) Batch(now time.Time, limit int) int {
	if _, warm := r.State(now).(Warm); warm {
		return limit
	}
	return 1
}

// WithPeerReport returns the ramp after another daemon's report that the incarnation was warm a moment ago. A cold
// target becomes unverified, unless this daemon itself lost a connection to the incarnation or saw it cold.
func (r Ramp) WithPeerReport(incarnation string, now time.Time) Ramp {
	if _, cold := r.State(now).(Cold); !cold || incarnation == "" || r.lost == incarnation || r.cold == incarnation {
		return r
	}
	r.incarnation = incarnation
	r.current = Warm{}
	r.last = now.Add(-UnverifiedAfter - 1)
	return r
}

// WithReply returns the ramp after a reply. A cold target becomes warm once its limit would exceed its slots.
func (r Ramp) WithReply(p Reply, allowance, slots int) Ramp {
	state := r.State(p.At)
	if p.Incarnation != r.incarnation {
		state = Cold{}
	}
	slow := r.slow(p)
	r.incarnation = p.Incarnation
	r.last = p.At
	switch s := state.(type) {
	case Cold:
		r.current = r.nextCold(s, p, allowance, slots)
		if _, warm := r.current.(Warm); warm {
			r.typical = s.mean()
			slow = false
		}
	case Unverified:
		r.current = nextWarm(Warm{}, p, slow)
	case Warm:
		r.current = nextWarm(s, p, slow)
	}
	r.cold = ""
	if _, cold := r.current.(Cold); cold {
		r.cold = p.Incarnation
	}
	if _, warm := r.current.(Warm); warm && !slow {
		r.typical = blend(r.typical, p.Service)
	}
	return r
}

// WithConnectionLoss returns the ramp after a lost connection: the target may have restarted.
func (r Ramp) WithConnectionLoss() Ramp {
	r.lost = r.incarnation
	r.current = Cold{}
	return r
}

func (r Ramp) slow(p Reply) bool {
	return r.typical > 0 && p.Service > MinSlowService && p.Service > SlowReplyFactor*r.typical
}

func (r Ramp) nextCold(s Cold, p Reply, allowance, slots int) State {
	s.Replies++
	s.Sum += p.Service
	tooSlow := r.typical > 0 && s.mean() > time.Duration(SlowStepFactor*float64(max(r.typical, minTypical)))
	switch {
	case p.Cold:
		return Cold{}
	case s.Replies < r.repliesPerStep():
		return s
	case tooSlow && s.SlowSteps+1 < MaxSlowSteps:
		return Cold{Step: s.Step, SlowSteps: s.SlowSteps + 1}
	case allowance+s.Step+1 > slots:
		return Warm{}
	default:
		return Cold{Step: s.Step + 1, SlowSteps: s.SlowSteps}
	}
}

func (s Cold) mean() time.Duration {
	return s.Sum / time.Duration(max(s.Replies, 1))
}

func (r Ramp) repliesPerStep() int {
	if r.typical > 0 {
		return RepliesPerStep
	}
	return RepliesPerFirstStep
}

func nextWarm(s Warm, p Reply, slow bool) State {
	switch {
	case p.Cold:
		return Cold{}
	case !slow:
		return Warm{}
	case s.Slow+1 >= MaxSlowReplies:
		return Cold{}
	default:
		return Warm{Slow: s.Slow + 1}
	}
}

func blend(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(typicalWeight*float64(sample-old))
}
