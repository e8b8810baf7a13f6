package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The deployment of the case: one service with a replica in each of two zones, as the shards of the site have them, and
// callers that open a connection for each request.
const (
	zoneDaemons  = 6
	zoneSlots    = 12
	zoneQueue    = 16
	zoneCallers  = 130
	zonePeriod   = 320 * time.Millisecond
	zoneDeadline = 1500 * time.Millisecond
	zoneTraffic  = 100 * time.Second
	zoneRate     = 20.0
	zoneBound    = zoneRate*1.5 + 5
	zoneWarmup   = 3 * time.Second
	// Zone a is taken out returns times, from zoneOutAt on, once in zoneOutEvery, for zoneOutFor.
	returns      = 9
	zoneOutAt    = 6 * time.Second
	zoneOutEvery = 10 * time.Second
	zoneOutFor   = 4 * time.Second
	// At a random time in a span of killSpan around the return of the zone zoneKilled daemons are killed at once (the site's
	// share is 0.55). They start again after restartDelay.
	zoneKilled   = 3
	killSpan     = 1 * time.Second
	restartDelay = 200 * time.Millisecond
)

// restartAtReturn takes a zone out and back, with its replica cold, some times. Around each return some daemons are killed
// and start again.
func restartAtReturn(r *rig) (bool, error) {
	r.put("op/config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "job-order", "host": host, "prefix": "/job/", "type": "non_idempotent", "timeout-ms": 1500, "slo-ms": 150,
			"attempts": 2, "priority": 2, "service": "job-desk",
		}},
		"services": []map[string]any{{
			"name": "job-desk", "max-conns": 208, "health-path": "/health", "warmup-s": zoneWarmup.Seconds(), "warmup-per-s": zoneRate,
		}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	began := sync.Map{}
	var crashed atomic.Bool
	counter := &coldCounter{}
	var replica *target
	for i, zone := range []string{"zone-a", "zone-b"} {
		t := &target{
			rig: r, id: "i-" + zone, service: "job-desk", zone: zone, slots: zoneSlots, queue: zoneQueue,
			work: func() time.Duration {
				return 10*time.Millisecond + time.Duration(rand.Int64N(int64(20*time.Millisecond)))
			},
		}
		if i == 0 {
			replica = t
			t.began = func(_ *target, q *http.Request) { began.Store(q.Header.Get("X-Request-Id"), true) }
			t.arrived = func(q *http.Request, at time.Time) {
				if !t.cold(at) {
					return
				}
				n := counter.add(at)
				r.logf("arrived %s from %s at %s, which is cold: %d within a second", q.Header.Get("X-Request-Id"), q.RemoteAddr, t.id, n)
				if n > crashFactor*zoneRate && crashed.CompareAndSwap(false, true) {
					r.logf("%s crashes: it tolerates %g requests a second", t.id, zoneRate)
					t.crash()
				}
			}
		}
		if err := t.start(r.address(100, i+1)); err != nil {
			return false, err
		}
	}
	ds, err := r.startFleet(zoneDaemons)
	if err != nil {
		return false, err
	}
	b := r.newBalancer(ds)
	startedAt := time.Now()
	until := startedAt.Add(zoneTraffic)
	var group sync.WaitGroup
	group.Go(func() {
		for i := range returns {
			out := startedAt.Add(zoneOutAt + time.Duration(i)*zoneOutEvery)
			time.Sleep(time.Until(out))
			if crashed.Load() {
				return
			}
			r.put("op/evacuate/zone-a", map[string]any{})
			r.logf("zone-a is taken out")
			back := out.Add(zoneOutFor)
			if r.options.trouble {
				killAt := back.Add(killSpan/2 - time.Duration(rand.Int64N(int64(killSpan))))
				for k := range zoneKilled {
					victim := ds[(i+k)%len(ds)]
					group.Go(func() {
						time.Sleep(time.Until(killAt))
						victim.kill()
						time.Sleep(restartDelay)
						if err := victim.launch(false); err != nil {
							r.logf("restart failed: %v", err)
						}
					})
				}
			}
			time.Sleep(time.Until(back))
			replica.setCold(zoneWarmup)
			r.store.Remove("op/evacuate/zone-a")
			r.logf("zone-a is back, %s is cold, and its next entry says so", replica.id)
		}
	})
	var mu sync.Mutex
	counts, lost := map[int]int{}, 0
	for i := range zoneCallers {
		group.Go(func() {
			for n := 0; time.Now().Before(until) && !crashed.Load(); n++ {
				at := time.Now()
				c := r.newCaller(b.pick(nil))
				a := c.send(http.MethodPost, fmt.Sprintf("/job/%d/%d", i, n), "job", zoneDeadline)
				c.http.CloseIdleConnections()
				mu.Lock()
				counts[a.status]++
				if _, ok := began.Load(a.id); ok && a.status != http.StatusOK && crashed.Load() {
					lost++
					r.logf("lost: %s was running at %s and was answered %d", a.id, replica.id, a.status)
				}
				mu.Unlock()
				time.Sleep(time.Until(at.Add(zonePeriod/2 + time.Duration(rand.Int64N(int64(zonePeriod))))))
			}
		})
	}
	group.Wait()
	line := fmt.Sprintf("%s: at most %d requests within a second while cold, %g are allowed", replica.id, counter.worst, zoneBound)
	broken := float64(counter.worst) > zoneBound
	if broken {
		line = "FAILBACK " + line
	}
	r.logf("%s; attempts by status %v; lost in the crash %d", line, counts, lost)
	fmt.Printf("%s; attempts by status %v; lost in the crash %d\n", line, counts, lost)
	return broken, nil
}
