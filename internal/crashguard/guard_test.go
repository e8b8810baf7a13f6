package crashguard_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/crashguard"
	"github.com/knapweedpoint/knapweedpoint/internal/targetcall"
)

const crasher, harmless = uint64(1), uint64(2)

// crash simulates a target that ends while it runs an attempt of each request, and returns the confirmed losses.
func crash(g *crashguard.Guard, target, attempt string, now time.Time, fingerprints ...uint64) []crashguard.Loss {
	for _, f := range fingerprints {
		g.RecordBrokenCall(target, crashguard.Loss{Fingerprint: f, Attempt: attempt}, now)
	}
	return g.ConfirmTargetLoss(target, now.Add(time.Second))
}

func TestRequestThatCrashesItsTargetsIsRefused(t *testing.T) {
	var g crashguard.Guard
	now := time.Now()
	for i := range crashguard.RefuseThreshold {
		require.False(t, g.Refuses(crasher, now))
		require.Len(t, crash(&g, fmt.Sprint("t", i), fmt.Sprint("r", i), now, crasher), 1)
	}
	require.True(t, g.Refuses(crasher, now))
	require.False(t, g.Refuses(crasher, now.Add(time.Hour)), "the suspicion has expired")
}

func TestHarmlessRequestOnTheSameTargetsIsNotRefused(t *testing.T) {
	var g crashguard.Guard
	now := time.Now()
	for i := range 10 {
		crash(&g, fmt.Sprint("t", i), fmt.Sprint("r", i), now, crasher, harmless)
		if i%2 == 1 {
			g.RecordAnswer(harmless, now)
		}
		require.False(t, g.Refuses(harmless, now), "crash %d", i)
		now = now.Add(10 * time.Second)
	}
	require.True(t, g.Refuses(crasher, now))
}

// Replicas of many shards crash at once during searches that query all shards.
func TestSearchUnderACrashOfManyTargetsIsNotRefused(t *testing.T) {
	var g crashguard.Guard
	now := time.Now()
	for attempt := range 10 {
		g.RecordAnswer(harmless, now)
		for i := range 8 {
			require.Empty(t, crash(&g, fmt.Sprint("t", i), fmt.Sprint("r", attempt), now, harmless), "other shards answered")
		}
		now = now.Add(time.Second)
	}
	for i := range 8 {
		crash(&g, fmt.Sprint("t", i), "one attempt", now.Add(time.Minute), harmless)
	}
	require.False(t, g.Refuses(harmless, now.Add(time.Minute)), "one attempt counts once")
}

func TestBrokenConnectionsWithoutACrashProveNothing(t *testing.T) {
	var g crashguard.Guard
	now := time.Now()
	for i := range 10 {
		g.RecordBrokenCall(fmt.Sprint("t", i), crashguard.Loss{Fingerprint: crasher, Attempt: fmt.Sprint("r", i)}, now)
		require.Empty(t, g.ConfirmTargetLoss(fmt.Sprint("t", i), now.Add(time.Minute)), "the call broke too long ago")
	}
	require.False(t, g.Refuses(crasher, now))
}

func TestLossesReportedByPeersCount(t *testing.T) {
	var g crashguard.Guard
	now := time.Now()
	for range 10 {
		g.RecordPeerLoss(crashguard.Loss{Fingerprint: crasher, Attempt: "r1"}, now)
	}
	require.False(t, g.Refuses(crasher, now), "the same attempt counts once")
	g.RecordPeerLoss(crashguard.Loss{Fingerprint: crasher, Attempt: "r2"}, now)
	g.RecordPeerLoss(crashguard.Loss{Fingerprint: crasher, Attempt: "r3"}, now)
	require.True(t, g.Refuses(crasher, now))
}

func TestFingerprintIsEqualForAllAttempts(t *testing.T) {
	one := targetcall.Request{ID: "1", Method: "GET", Host: "h", Path: "/p", Body: []byte("b")}
	again := one
	again.ID = "2"
	require.Equal(t, crashguard.Fingerprint(one), crashguard.Fingerprint(again))
	for _, change := range []func(r *targetcall.Request){
		func(r *targetcall.Request) { r.Method = "POST" },
		func(r *targetcall.Request) { r.Host = "i" },
		func(r *targetcall.Request) { r.Path = "/p?" },
		func(r *targetcall.Request) { r.Body = nil },
	} {
		other := one
		change(&other)
		require.NotEqual(t, crashguard.Fingerprint(one), crashguard.Fingerprint(other))
	}
}

// Two daemons pass on their refused requests to each other in each gossip round.
func TestSuspicionThatDaemonsPassOnExpires(t *testing.T) {
	var a, b crashguard.Guard
	now := time.Now()
	for i := range 2 * crashguard.RefuseThreshold {
		crash(&a, fmt.Sprint("t", i), fmt.Sprint("r", i), now, crasher)
	}
	passOn := func(from, to *crashguard.Guard) {
		for l, at := range from.Quarantined(4, now) {
			to.RecordPeerLoss(l, at.Add(2*time.Millisecond))
		}
	}
	passOn(&a, &b)
	require.True(t, b.Refuses(crasher, now))
	for end := now.Add(crashguard.SuspicionTTL + time.Second); now.Before(end); now = now.Add(400 * time.Millisecond) {
		passOn(&a, &b)
		passOn(&b, &a)
	}
	now = now.Add(2 * time.Second)
	require.False(t, a.Refuses(crasher, now))
	require.False(t, b.Refuses(crasher, now))
	require.Empty(t, a.Quarantined(4, now))
}

func TestPeerLossOfAnAnsweredRequestIsIgnored(t *testing.T) {
	var g crashguard.Guard
	now := time.Now()
	g.RecordAnswer(harmless, now)
	for i := range crashguard.RefuseThreshold {
		require.False(t, g.RecordPeerLoss(crashguard.Loss{Fingerprint: harmless, Attempt: fmt.Sprint("r", i)}, now.Add(-time.Second)))
	}
	require.False(t, g.Refuses(harmless, now))
}
