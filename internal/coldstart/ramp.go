package coldstart

import "time"

// Constants of the ramp.
const (
	// RepliesPerStep is the number of replies, with a mean service time close to the typical one, that raises the
	// limit by one.
	RepliesPerStep = 8
	// RepliesPerFirstStep is RepliesPerStep for a target whose typical service time is not known.
	RepliesPerFirstStep = 48
	// SlowStepFactor times the typical service time is the bound above which a ramp step, by the mean service time of
	// its replies, is too slow.
	SlowStepFactor = 1.5
	// MaxSlowSteps is the number of the too slow ramp step that is no longer repeated, because its service time is
	// accepted as typical: a cold start does not last that long, but the effect of a new release or a slower machine does.
	MaxSlowSteps = 12
	// SlowReplyFactor times the typical service time is the bound above which a reply is slow.
	SlowReplyFactor = 3
	// MaxSlowReplies is the number of consecutive slow replies that turns a warm target cold.
	MaxSlowReplies = 4
	// MinSlowServiceTime is the service time up to which no reply is slow.
	MinSlowServiceTime = 10 * time.Millisecond
	// UnverifiedAfter is how long a warm target may go without a reply before it becomes unverified.
	UnverifiedAfter = 100 * time.Millisecond
	// ColdAfter is how long a target may go without a reply before it counts as cold.
	ColdAfter = 30 * time.Second

	typicalWeight = 0.05
	minTypical    = time.Millisecond
)

// State is a relay's estimate of a target: Cold, Unverified or Warm.
type State interface {
	label() string
}

// Cold is a target that has not completed the ramp since its start.
type Cold struct {
	// Step is the number of completed ramp steps: the requests in flight that the target may have above the
	// allowance.
	Step int
	// Replies counts the replies of the current ramp step; Sum is the sum of their service times.
	Replies int
	Sum     time.Duration
	// SlowSteps counts the ramp steps that were repeated because they were too slow.
	SlowSteps int
}

// Unverified is a target that was warm at its last reply; the next reply shows whether it has restarted.
type Unverified struct{}

// Warm is a target that may get its full load.
type Warm struct {
	// SlowReplies counts the consecutive slow replies.
	SlowReplies int
}

func (Cold) label() string       { return "cold" }
func (Unverified) label() string { return "unverified" }
func (Warm) label() string       { return "warm" }

// Reply holds the facts of one reply that the ramp uses.
type Reply struct {
	Incarnation string
	// Cold is the target's own report.
	Cold        bool
	ServiceTime time.Duration
	At          time.Time
}

// Ramp is the cold-start state of one target; its zero value is a cold target that has not replied yet.
type Ramp struct {
	incarnation string
	state       State
	typical     time.Duration
	lastReply   time.Time
	// lostIncarnation is the last incarnation whose connection was lost. coldIncarnation is the incarnation that was cold
	// after its last reply.
	lostIncarnation string
	coldIncarnation string
}

// State returns the target's state at the given time.
func (r Ramp) State(now time.Time) State {
	idle := now.Sub(r.lastReply)
	if r.state == nil || idle > ColdAfter {
		return Cold{}
	}
	if _, warm := r.state.(Warm); warm && idle > UnverifiedAfter {
		return Unverified{}
	}
	return r.state
}

// StateLabel returns the state as a label: "cold", "unverified" or "warm".
func (r Ramp) StateLabel(now time.Time) string {
	return r.State(now).label()
}

// Incarnation returns the incarnation of the last reply, or of a later peer report that the ramp has applied.
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
	if _, cold := r.State(now).(Cold); !cold || incarnation == "" || r.lostIncarnation == incarnation || r.coldIncarnation == incarnation {
		return r
	}
	r.incarnation = incarnation
	r.state = Warm{}
	r.lastReply = now.Add(-UnverifiedAfter - 1)
	return r
}

// WithReply returns the ramp after a reply. A cold target becomes warm once its limit would exceed its slots.
func (r Ramp) WithReply(reply Reply, allowance, slots int) Ramp {
	before := r.State(reply.At)
	if reply.Incarnation != r.incarnation {
		before = Cold{}
	}
	slow := r.isSlow(reply)
	r.incarnation = reply.Incarnation
	r.lastReply = reply.At
	switch s := before.(type) {
	case Cold:
		r.state = r.nextCold(s, reply, allowance, slots)
		if _, warm := r.state.(Warm); warm {
			r.typical = s.mean()
			slow = false
		}
	case Unverified:
		r.state = nextWarm(Warm{}, reply, slow)
	case Warm:
		r.state = nextWarm(s, reply, slow)
	}
	r.coldIncarnation = ""
	if _, cold := r.state.(Cold); cold {
		r.coldIncarnation = reply.Incarnation
	}
	if _, warm := r.state.(Warm); warm && !slow {
		r.typical = blend(r.typical, reply.ServiceTime)
	}
	return r
}

// WithConnectionLoss returns the ramp after a lost connection: the target may have restarted.
func (r Ramp) WithConnectionLoss() Ramp {
	r.lostIncarnation = r.incarnation
	r.state = Cold{}
	return r
}

func (r Ramp) isSlow(reply Reply) bool {
	return r.typical > 0 && reply.ServiceTime > MinSlowServiceTime && reply.ServiceTime > SlowReplyFactor*r.typical
}

func (r Ramp) nextCold(s Cold, reply Reply, allowance, slots int) State {
	s.Replies++
	s.Sum += reply.ServiceTime
	tooSlow := r.typical > 0 && s.mean() > time.Duration(SlowStepFactor*float64(max(r.typical, minTypical)))
	switch {
	case reply.Cold:
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

func nextWarm(s Warm, reply Reply, slow bool) State {
	switch {
	case reply.Cold:
		return Cold{}
	case !slow:
		return Warm{}
	case s.SlowReplies+1 >= MaxSlowReplies:
		return Cold{}
	default:
		return Warm{SlowReplies: s.SlowReplies + 1}
	}
}

func blend(old, sample time.Duration) time.Duration {
	if old == 0 {
		return sample
	}
	return old + time.Duration(typicalWeight*float64(sample-old))
}
