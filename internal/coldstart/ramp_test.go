package coldstart

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	quick = 5 * time.Millisecond
	slots = 2
)

// withReplies returns the ramp after n replies with the given service time.
func withReplies(r Ramp, at time.Time, n int, service time.Duration, incarnation string, cold bool) Ramp {
	for range n {
		r = r.WithReply(Reply{Incarnation: incarnation, ServiceTime: service, Cold: cold, At: at}, 1, slots)
	}
	return r
}

func TestRamp(t *testing.T) {
	now := time.Now()
	warm := withReplies(Ramp{}, now, 2*RepliesPerFirstStep, quick, "1", false)
	cases := []struct {
		name  string
		ramp  Ramp
		at    time.Time
		label string
		limit int
	}{
		{"no reply yet", Ramp{}, now, "cold", 1},
		{"one step", withReplies(Ramp{}, now, RepliesPerFirstStep, quick, "1", false), now, "cold", 2},
		{"proved", warm, now, "warm", 2},
		{"no reply for a while", warm, now.Add(2 * UnverifiedAfter), "unverified", 1},
		{"no reply for long", warm, now.Add(2 * ColdAfter), "cold", 1},
		{"started again", withReplies(warm, now, 1, quick, "2", false), now, "cold", 1},
		{"reports that it is cold", withReplies(warm, now, 1, quick, "1", true), now, "cold", 1},
		{"slow without a report", withReplies(warm, now, MaxSlowReplies, 6*quick, "1", false), now, "cold", 1},
		{"slow now and then", withReplies(warm, now, MaxSlowReplies-1, 6*quick, "1", false), now, "warm", 2},
		{"restarted and fast", withReplies(warm, now, 2*RepliesPerStep, quick, "2", false), now, "warm", 2},
		{"restarted and slow", withReplies(warm, now, 5*RepliesPerStep, 3*quick, "2", false), now, "cold", 1},
		{"permanently slower", withReplies(warm, now, (MaxSlowSteps+1)*RepliesPerStep, 3*quick, "2", false), now, "warm", 2},
		{"lost", warm.WithConnectionLoss(), now, "cold", 1},
		{"trusted", Ramp{}.WithPeerReport("1", now), now, "unverified", 1},
		{"connection lost and reported warm", warm.WithConnectionLoss().WithPeerReport("1", now), now, "cold", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			require.Equal(t, c.label, c.ramp.StateLabel(c.at))
			require.Equal(t, c.limit, c.ramp.Limit(c.at, 1, slots))
		})
	}
}
