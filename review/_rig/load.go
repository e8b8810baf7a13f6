package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The deployment of the cases with cold replicas: one service, kept at two thirds of what it can do when warm.
const (
	loadDaemons  = 6
	loadTargets  = 2
	loadSlots    = 6
	loadQueue    = 16
	loadCallers  = 130
	loadPeriod   = 320 * time.Millisecond
	loadDeadline = 1500 * time.Millisecond
	loadTraffic  = 90 * time.Second
	// loadRate is warmup-per-s, and loadWarmup is warmup-s.
	loadRate   = 20.0
	loadBound  = loadRate*1.5 + 5
	loadWarmup = 3 * time.Second
	// The disruption comes disruptions times, from disruptAt on, once in disruptEvery. Replicas that end are down for downFor.
	disruptions  = 7
	disruptAt    = 12 * time.Second
	disruptEvery = 11 * time.Second
	downFor      = 3 * time.Second
)

// crashFactor is the multiple of the rate that it tolerates at which a cold replica crashes: above the bound of the rule.
const crashFactor = 2

// coldCounter counts the requests that arrive at a replica while it is cold.
type coldCounter struct {
	mu     sync.Mutex
	recent []time.Time
	worst  int
	// crashed is set once the replica has crashed because of its load.
	crashed atomic.Bool
}

// add counts an arrival and returns how many there were within the last second.
func (c *coldCounter) add(at time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recent = append(c.recent, at)
	for at.Sub(c.recent[0]) >= time.Second {
		c.recent = c.recent[1:]
	}
	c.worst = max(c.worst, len(c.recent))
	return len(c.recent)
}

// restartUnderSameID stops the replicas of a service during traffic and starts them again, cold, under their ids.
func restartUnderSameID(r *rig) (bool, error) {
	return loadCold(r, func(t *target) error {
		r.logf("%s ends", t.id)
		t.crash()
		time.Sleep(downFor)
		r.logf("%s starts again, cold", t.id)
		t.setCold(loadWarmup)
		return t.start("")
	})
}

// turnCold lets the replicas of a service become cold again while they run. Their entries say so at once.
func turnCold(r *rig) (bool, error) {
	return loadCold(r, func(t *target) error {
		t.setCold(loadWarmup)
		t.write()
		r.logf("%s is cold, and its entry says so", t.id)
		return nil
	})
}

// loadCold keeps a service busy, applies the disruption to its replicas some times, and counts what they get while they are
// cold.
func loadCold(r *rig, disrupt func(t *target) error) (bool, error) {
	r.put("op/config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "job-order", "host": host, "prefix": "/job/", "type": "non_idempotent", "timeout-ms": 1500, "slo-ms": 150,
			"attempts": 2, "priority": 2, "service": "job-desk",
		}},
		"services": []map[string]any{{
			"name": "job-desk", "max-conns": 208, "health-path": "/health", "warmup-s": loadWarmup.Seconds(), "warmup-per-s": loadRate,
		}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	var targets []*target
	began := sync.Map{}
	// overloaded is set once a cold replica has crashed because of its load.
	var overloaded atomic.Bool
	counters := map[*target]*coldCounter{}
	for i := range loadTargets {
		t := &target{
			rig: r, id: fmt.Sprintf("i-%d", i), service: "job-desk", zone: "zone-a", slots: loadSlots, queue: loadQueue,
			work: func() time.Duration {
				return 10*time.Millisecond + time.Duration(rand.Int64N(int64(20*time.Millisecond)))
			},
		}
		t.began = func(t *target, q *http.Request) { began.Store(q.Header.Get("X-Request-Id"), t) }
		c := &coldCounter{}
		counters[t] = c
		t.arrived = func(q *http.Request, at time.Time) {
			if !t.cold(at) {
				return
			}
			n := c.add(at)
			r.logf("arrived %s at %s, which is cold: %d within a second", q.Header.Get("X-Request-Id"), t.id, n)
			if n > crashFactor*loadRate && c.crashed.CompareAndSwap(false, true) {
				overloaded.Store(true)
				r.logf("%s crashes: it tolerates %g requests a second", t.id, loadRate)
				t.crash()
			}
		}
		if err := t.start(r.address(100, i+1)); err != nil {
			return false, err
		}
		targets = append(targets, t)
	}
	ds, err := r.startFleet(loadDaemons)
	if err != nil {
		return false, err
	}
	b := r.newBalancer(ds)
	startedAt := time.Now()
	until := startedAt.Add(loadTraffic)
	var group sync.WaitGroup
	if r.options.trouble {
		for _, t := range targets {
			group.Go(func() {
				for i := range disruptions {
					time.Sleep(time.Until(startedAt.Add(disruptAt + time.Duration(i)*disruptEvery)))
					if overloaded.Load() {
						return
					}
					if err := disrupt(t); err != nil {
						r.logf("target failed: %v", err)
					}
				}
			})
		}
	}
	var mu sync.Mutex
	counts, lost := map[int]int{}, 0
	for i := range loadCallers {
		group.Go(func() {
			c := r.newCaller(b.pick(nil))
			for n := 0; time.Now().Before(until) && !overloaded.Load(); n++ {
				at := time.Now()
				a := c.send(http.MethodPost, fmt.Sprintf("/job/%d/%d", i, n), "job", loadDeadline)
				mu.Lock()
				counts[a.status]++
				if by, ok := began.Load(a.id); ok && a.status != http.StatusOK && counters[by.(*target)].crashed.Load() {
					lost++
					r.logf("lost: %s was running at %v and was answered %d", a.id, by.(*target).id, a.status)
				}
				mu.Unlock()
				if a.status == 0 {
					c = r.newCaller(b.pick(nil))
				}
				time.Sleep(time.Until(at.Add(loadPeriod/2 + time.Duration(rand.Int64N(int64(loadPeriod))))))
			}
		})
	}
	group.Wait()
	broken := false
	for _, t := range targets {
		c := counters[t]
		line := fmt.Sprintf("%s: at most %d requests within a second while cold, %g are allowed", t.id, c.worst, loadBound)
		if float64(c.worst) > loadBound {
			line, broken = "FAILBACK "+line, true
		}
		r.logf("%s", line)
		fmt.Println(line)
	}
	r.logf("attempts by status %v; lost in crashes because of the load %d", counts, lost)
	fmt.Printf("attempts by status %v; lost in crashes because of the load %d\n", counts, lost)
	return broken, nil
}
