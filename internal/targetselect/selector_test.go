package targetselect_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/inventory"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
	"github.com/knapweedpoint/knapweedpoint/internal/targetselect"
)

var (
	class = targetselect.Class{Name: "r", Objective: 100 * time.Millisecond}
	a     = inventory.Target{ID: "a", Service: "s", Slots: 2}
	b     = inventory.Target{ID: "b", Service: "s", Slots: 2}
)

// answer has a target answer a call after the given time.
func answer(s *targetselect.Selector, t inventory.Target, after time.Duration, load targetcall.Load) {
	call := s.Begin(class, t, time.Now())
	time.Sleep(after)
	call.End(targetcall.Answered{Status: 200, Signature: "x", Load: load}, false, time.Now())
}

// shareOfA returns the share, of 200 picks between a and b, that chose a.
func shareOfA(s *targetselect.Selector) float64 {
	n := 0
	for range 200 {
		selection, ok := s.Pick(class, []inventory.Target{a, b}, time.Now())
		if ok && selection.Target.ID == "a" {
			n++
		}
	}
	return float64(n) / 200
}

func TestPickByRecordedSignals(t *testing.T) {
	for _, c := range []struct {
		name     string
		record   func(s *targetselect.Selector)
		maxShare float64
	}{
		{"a was slow several times", func(s *targetselect.Selector) {
			for range 4 {
				answer(s, a, 200*time.Millisecond, targetcall.Load{})
				answer(s, b, 20*time.Millisecond, targetcall.Load{})
			}
		}, 0},
		{"a has a call beyond its hedge delay", func(s *targetselect.Selector) {
			s.Begin(class, a, time.Now())
			time.Sleep(60 * time.Millisecond)
		}, 0},
		{"a has four calls in flight", func(s *targetselect.Selector) {
			for range 4 {
				s.Begin(class, a, time.Now())
			}
		}, 0},
		{"a reports a long queue", func(s *targetselect.Selector) {
			answer(s, a, 20*time.Millisecond, targetcall.Load{Known: true, Running: 2, Waiting: 6, Slots: 2})
			answer(s, b, time.Millisecond, targetcall.Load{Known: true, Running: 1, Slots: 2})
		}, 0},
		{"a has just refused a call", func(s *targetselect.Selector) {
			s.Begin(class, a, time.Now()).End(targetcall.Refused{}, false, time.Now())
		}, 0},
		{"a has just failed", func(s *targetselect.Selector) {
			s.Begin(class, a, time.Now()).End(targetcall.Answered{Status: 500, Signature: "x"}, false, time.Now())
		}, 0},
		{"two peers report a stalled", func(s *targetselect.Selector) {
			s.RecordStallHint(a, "vm1", time.Now())
			s.RecordStallHint(a, "vm2", time.Now())
		}, 0},
		{"one pause of a is not slowness", func(s *targetselect.Selector) {
			for range 3 {
				answer(s, a, 20*time.Millisecond, targetcall.Load{})
				answer(s, b, 20*time.Millisecond, targetcall.Load{})
			}
			answer(s, a, 200*time.Millisecond, targetcall.Load{})
		}, 0.7},
		{"the same signals a minute ago", func(s *targetselect.Selector) {
			s.RecordStallHint(a, "vm1", time.Now())
			s.RecordStallHint(a, "vm2", time.Now())
			s.Begin(class, a, time.Now()).End(targetcall.Unknown{}, false, time.Now())
			answer(s, a, 200*time.Millisecond, targetcall.Load{Known: true, Waiting: 9, Slots: 2})
			time.Sleep(time.Minute)
		}, 0.7},
		{"nothing", func(*targetselect.Selector) {}, 0.7},
	} {
		for _, learn := range []bool{false, true} {
			t.Run(fmt.Sprint(c.name, ", learned capacity ", learn), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					s := &targetselect.Selector{LearnCapacity: learn}
					c.record(s)
					got := shareOfA(s)
					require.LessOrEqual(t, got, c.maxShare)
					if c.maxShare > 0 {
						require.Greater(t, got, 1-c.maxShare)
					}
				})
			})
		}
	}
}

// Guards against calls to a target at its limit while another has free slots, and against a service without candidates
// because all of its targets are at their limits or stalled.
func TestTargetsAtTheirLimitAreCandidatesOnlyIfAllAre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &targetselect.Selector{LearnCapacity: true}
		both := []inventory.Target{a, b}
		for range 2 {
			answer(s, a, 20*time.Millisecond, targetcall.Load{})
			answer(s, b, 20*time.Millisecond, targetcall.Load{})
		}
		require.Equal(t, both, s.Candidates(both, time.Now()))
		for range 20 {
			s.Begin(class, a, time.Now())
		}
		require.Equal(t, []inventory.Target{b}, s.Candidates(both, time.Now()))
		s.Begin(class, b, time.Now()).End(targetcall.Refused{Load: targetcall.Load{Known: true, Running: 2, Waiting: 12, Slots: 2}}, false, time.Now())
		require.Equal(t, both, s.Candidates(both, time.Now()))
		selection, _ := s.Pick(class, both, time.Now())
		require.True(t, selection.Full)
		require.Equal(t, 2, s.Capacity(time.Now()).Full)
		time.Sleep(250 * time.Millisecond)
		require.Equal(t, []inventory.Target{b}, s.Candidates(both, time.Now()), "b has had time to end its calls, a has its calls still")
		selection, _ = s.Pick(class, both, time.Now())
		require.False(t, selection.Full)
	})
}

// Each search adds many samples with the same latency, and every fourth search falls into a burst. The median must not
// follow the bursts.
func TestTypicalLatencyIsStableUnderBursts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &targetselect.Selector{}
		for i := range 400 {
			took := 20 * time.Millisecond
			if i%4 == 0 {
				took = 90 * time.Millisecond
			}
			for range 30 {
				started := time.Now()
				s.Begin(class, a, started).End(targetcall.Answered{Status: 200, Signature: "x"}, false, started.Add(took))
			}
			if i > 100 {
				require.InDelta(t, 20, s.TypicalLatency(class).Seconds()*1000, 5, "search %d", i)
			}
			time.Sleep(10 * time.Millisecond)
		}
	})
}

func TestUnreachableTargetIsEjectedForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &targetselect.Selector{}
		both := []inventory.Target{a, b}
		require.Equal(t, both, s.Candidates(both, time.Now()))
		s.Begin(class, a, time.Now()).End(targetcall.NotSent{Unreachable: true}, false, time.Now())
		require.True(t, s.Ejected(a, time.Now()))
		require.Equal(t, []inventory.Target{b}, s.Candidates(both, time.Now()))
		require.Equal(t, []inventory.Target{a}, s.Candidates([]inventory.Target{a}, time.Now()), "the only target stays a candidate")
		time.Sleep(3 * time.Second)
		require.False(t, s.Ejected(a, time.Now()))
	})
}

// A target has crashed without closing its connections, and its entry is still published.
func TestSilentTargetIsTriedLessAndLessOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &targetselect.Selector{}
		both := []inventory.Target{a, b}
		tries := 0
		for started := time.Now(); time.Since(started) < 10*time.Second; time.Sleep(20 * time.Millisecond) {
			if len(s.Candidates(both, time.Now())) == 1 {
				continue
			}
			call := s.Begin(class, a, time.Now())
			time.Sleep(300 * time.Millisecond)
			call.End(targetcall.Unknown{}, true, time.Now())
			tries++
		}
		require.LessOrEqual(t, tries, 9)
		answer(s, a, 10*time.Millisecond, targetcall.Load{})
		time.Sleep(2 * time.Second)
		require.Equal(t, both, s.Candidates(both, time.Now()))
	})
}

// A target has ended, and its address has been assigned to another service.
func TestTargetWhoseAddressWasReusedIsNeverTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &targetselect.Selector{}
		s.Begin(class, a, time.Now()).End(targetcall.Refused{OtherIncarnation: true}, false, time.Now())
		time.Sleep(time.Minute)
		require.Empty(t, s.Candidates([]inventory.Target{a}, time.Now()))
		require.True(t, s.Ejected(a, time.Now()))
		restarted := a
		restarted.StartMillis = 5
		require.Equal(t, []inventory.Target{restarted}, s.Candidates([]inventory.Target{restarted}, time.Now()), "a new start under the same id")
	})
}

func TestCancelledCallsChangeNoEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &targetselect.Selector{}
		before := s.TypicalLatency(class)
		call := s.Begin(class, a, time.Now())
		time.Sleep(200 * time.Millisecond)
		call.End(targetcall.Unknown{}, true, time.Now())
		require.Equal(t, before, s.TypicalLatency(class))
		require.InDelta(t, 0.5, shareOfA(s), 0.2)
	})
}

func TestRetainRemovesUnknownTargets(t *testing.T) {
	s := &targetselect.Selector{}
	s.Begin(class, a, time.Now()).End(targetcall.NotSent{Unreachable: true}, false, time.Now())
	s.Retain(func(string) bool { return false })
	require.False(t, s.Ejected(a, time.Now()))
}

func TestPickWithoutCandidates(t *testing.T) {
	_, ok := (&targetselect.Selector{}).Pick(class, nil, time.Now())
	require.False(t, ok)
}

// A target pauses for 250 ms while an aggregator has several calls in flight to it, so that all of them are late at
// once.
func TestOnePauseIsNotSlowness(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &targetselect.Selector{}
		for range 3 {
			answer(s, a, 20*time.Millisecond, targetcall.Load{})
			answer(s, b, 20*time.Millisecond, targetcall.Load{})
		}
		var waiting []*targetselect.PendingCall
		for range 5 {
			waiting = append(waiting, s.Begin(class, a, time.Now()))
			time.Sleep(50 * time.Millisecond)
		}
		for _, call := range waiting {
			call.End(targetcall.Answered{Status: 200, Signature: "x"}, false, time.Now())
			time.Sleep(time.Millisecond)
		}
		require.InDelta(t, 0.5, shareOfA(s), 0.15)
	})
}

// A target becomes slow under a steady load of one call every 20 ms.
func TestSlownessShowsUnderOverlappingCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &targetselect.Selector{}
		for range 3 {
			answer(s, a, 20*time.Millisecond, targetcall.Load{})
			answer(s, b, 20*time.Millisecond, targetcall.Load{})
		}
		const slow = 10
		var waiting []*targetselect.PendingCall
		for range 3 * slow {
			waiting = append(waiting, s.Begin(class, a, time.Now()))
			time.Sleep(20 * time.Millisecond)
			if len(waiting) > slow {
				waiting[0].End(targetcall.Answered{Status: 200, Signature: "x"}, false, time.Now())
				waiting = waiting[1:]
			}
		}
		for _, call := range waiting {
			call.End(targetcall.Answered{Status: 200, Signature: "x"}, false, time.Now())
		}
		require.Zero(t, shareOfA(s))
	})
}
