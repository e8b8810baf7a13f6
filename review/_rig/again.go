package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The deployment of the case: two zones with two daemons each. The callers are in zone a, the replicas of all shards in zone b,
// where one daemon gathers each search for the daemon that received it.
const (
	againShards   = 8
	againReplicas = 2
	againSlots    = 8
	againQueue    = 16
	againCallers  = 12
	againPeriod   = 800 * time.Millisecond
	againDeadline = 6 * time.Second
	againAttempts = 1
	againTraffic  = 60 * time.Second
	// One of the daemons of zone b is killed once in againKillEvery, from againKillAt on, and starts again after againRestart.
	againKillAt    = 10 * time.Second
	againKillEvery = 9 * time.Second
	againKills     = 5
	againRestart   = 200 * time.Millisecond
	// againAllowed is the number of requests that the rule allows.
	againAllowed = 3
)

// callAgain kills daemons that gather searches for others.
func callAgain(r *rig) (bool, error) {
	var mu sync.Mutex
	// ranOn holds the replicas that ran a request, by request and shard.
	ranOn := map[string]map[string]map[string]bool{}
	var shards []string
	var services []map[string]any
	for i := range againShards {
		name := fmt.Sprintf("visit-finder-%d", i)
		shards = append(shards, name)
		services = append(services, map[string]any{"name": name, "max-conns": 54, "health-path": "/health"})
		for k := range againReplicas {
			t := &target{
				rig: r, id: fmt.Sprintf("i-%d-%d", i, k), service: name, zone: "zone-b", slots: againSlots, queue: againQueue,
				work: func() time.Duration {
					return 400*time.Millisecond + time.Duration(rand.Int64N(int64(400*time.Millisecond)))
				},
				began: func(t *target, q *http.Request) {
					mu.Lock()
					defer mu.Unlock()
					id := q.Header.Get("X-Request-Id")
					if ranOn[id] == nil {
						ranOn[id] = map[string]map[string]bool{}
					}
					if ranOn[id][t.service] == nil {
						ranOn[id][t.service] = map[string]bool{}
					}
					ranOn[id][t.service][t.id] = true
				},
			}
			if err := t.start(r.address(100, i*againReplicas+k+1)); err != nil {
				return false, err
			}
		}
	}
	r.put("op/config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "history-report", "host": host, "prefix": "/history/", "type": "idempotent", "timeout-ms": 6000, "slo-ms": 1000,
			"attempts": againAttempts, "priority": 1, "gather": shards, "top-k": 20, "min-coverage": 0.75,
		}},
		"services": services,
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", r.address(1, i+1), r.ports.peers))
	}
	var near, far []*daemon
	for i, zone := range []string{"zone-a", "zone-b", "zone-a", "zone-b"} {
		d := r.newDaemon(fmt.Sprintf("front-%s-%d", zone, i/2+1), zone, r.address(1, i+1), seeds)
		if err := d.launch(true); err != nil {
			return false, err
		}
		if zone == "zone-a" {
			near = append(near, d)
		} else {
			far = append(far, d)
		}
	}
	if err := waitReady(append(append([]*daemon{}, near...), far...)); err != nil {
		return false, err
	}
	b := r.newBalancer(near)
	start := time.Now()
	var group sync.WaitGroup
	group.Go(func() {
		for i := range againKills {
			time.Sleep(time.Until(start.Add(againKillAt + time.Duration(i)*againKillEvery)))
			if !r.options.trouble {
				continue
			}
			victim := far[i%len(far)]
			victim.kill()
			time.Sleep(againRestart)
			if err := victim.launch(false); err != nil {
				r.logf("restart failed: %v", err)
			}
		}
	})
	counts := map[int]int{}
	for i := range againCallers {
		group.Go(func() {
			c := r.newCaller(b.pick(nil))
			for n := 0; time.Since(start) < againTraffic; n++ {
				at := time.Now()
				a := c.send(http.MethodGet, fmt.Sprintf("/history/%d/%d", i, n), "", againDeadline)
				mu.Lock()
				counts[a.status]++
				mu.Unlock()
				time.Sleep(time.Until(at.Add(againPeriod/2 + time.Duration(rand.Int64N(int64(againPeriod))))))
			}
		})
	}
	group.Wait()
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	over := 0
	for id, byShard := range ranOn {
		exceeded := 0
		for shard, on := range byShard {
			if len(on) > againAttempts {
				exceeded++
				r.logf("BUDGET %s ran on %d replicas of %s", id, len(on), shard)
			}
		}
		if exceeded > 0 {
			over++
		}
	}
	line := fmt.Sprintf("%d requests ran, by status %v; %d of them on more replicas of a shard than attempts (%d) allows (allowed: %d)",
		len(ranOn), counts, over, againAttempts, againAllowed)
	r.logf("%s", line)
	fmt.Println(line)
	return over > againAllowed, nil
}
