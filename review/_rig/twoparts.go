package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The deployment of the case: two zones with two daemons each. The callers are in zone a, the replicas of all shards in zone b,
// where one daemon gathers each search for the daemon that received it.
const (
	partsShards   = 20
	partsReplicas = 2
	partsSlots    = 12
	partsQueue    = 16
	partsCallers  = 30
	partsPeriod   = 300 * time.Millisecond
	partsDeadline = 6 * time.Second
	partsTopK     = 20
	partsTraffic  = 70 * time.Second
	// The first daemon of zone b is killed once in partsKillEvery, from partsKillAt on, and starts again after
	// partsRestart.
	partsKillAt    = 10 * time.Second
	partsKillEvery = 8 * time.Second
	// partsKillSpread is the range of a random delay of each kill.
	partsKillSpread = 400 * time.Millisecond
	partsKills      = 7
	partsRestart    = 200 * time.Millisecond
)

// partRecord is the record that the replicas of a shard return for a request. All replicas of a shard return the same.
func partRecord(service, id string) string {
	return fmt.Sprintf("%-3.3s%13.13s", service[len(service)-2:], id)
}

// twoParts kills daemons that gather searches for others, and looks for answers that hold a shard twice.
func twoParts(r *rig) (bool, error) {
	var shards []string
	var services []map[string]any
	serviceOf := map[string]string{}
	for i := range partsShards {
		name := fmt.Sprintf("visit-finder-%02d", i)
		shards = append(shards, name)
		services = append(services, map[string]any{"name": name, "max-conns": 54, "health-path": "/health"})
		for k := range partsReplicas {
			t := &target{
				rig: r, id: fmt.Sprintf("i-%02d-%d", i, k), service: name, zone: "zone-b", slots: partsSlots, queue: partsQueue,
				work: func() time.Duration {
					return 100*time.Millisecond + time.Duration(rand.Int64N(int64(900*time.Millisecond)))
				},
				records: func(t *target, id string) string { return partRecord(t.service, id) },
			}
			serviceOf[t.id] = name
			if err := t.start(r.address(100, i*partsReplicas+k+1)); err != nil {
				return false, err
			}
		}
	}
	r.put("op/config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "history-report", "host": host, "prefix": "/history/", "type": "idempotent", "timeout-ms": 6000, "slo-ms": 1000,
			"attempts": 2, "priority": 1, "gather": shards, "top-k": partsTopK, "min-coverage": 0.75,
		}},
		"services": services,
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	// The first seed is the first daemon of zone b; the machines of the two others are down.
	seeds := []string{fmt.Sprintf("%s:%d", r.address(1, 2), r.ports.peers)}
	for i := range 2 {
		seed, err := r.silentSeed(r.address(2, i+1))
		if err != nil {
			return false, err
		}
		seeds = append(seeds, seed)
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
	if err := waitReady(slices.Concat(near, far)); err != nil {
		return false, err
	}
	b := r.newBalancer(near)
	start := time.Now()
	var group sync.WaitGroup
	group.Go(func() {
		for i := range partsKills {
			// The daemons gossip every 0.4 s, of which partsKillEvery is a multiple; the kills come at any time between.
			time.Sleep(time.Until(start.Add(partsKillAt + time.Duration(i)*partsKillEvery + time.Duration(rand.Int64N(int64(partsKillSpread))))))
			if !r.options.trouble {
				continue
			}
			victim := far[0]
			victim.kill()
			time.Sleep(partsRestart)
			if err := victim.launch(false); err != nil {
				r.logf("restart failed: %v", err)
			}
		}
	})
	var mu sync.Mutex
	counts, mixed := map[int]int{}, 0
	for i := range partsCallers {
		group.Go(func() {
			c := r.newCaller(b.pick(nil))
			for n := 0; time.Since(start) < partsTraffic; n++ {
				at := time.Now()
				a := c.send(http.MethodGet, fmt.Sprintf("/history/%d/%d", i, n), "", partsDeadline)
				mu.Lock()
				counts[a.status]++
				if a.status == http.StatusOK {
					if wrong := wrongParts(a, serviceOf); wrong != "" {
						mixed++
						r.logf("MIXED %s: %s; X-Missing-Parts %s", a.id, wrong, a.missing)
					}
				}
				mu.Unlock()
				time.Sleep(time.Until(at.Add(partsPeriod/2 + time.Duration(rand.Int64N(int64(partsPeriod))))))
			}
		})
	}
	group.Wait()
	line := fmt.Sprintf("searches by status %v; %d successes name a shard twice or do not make up the set of shards", counts, mixed)
	r.logf("%s", line)
	fmt.Println(line)
	return mixed > 0, nil
}

// wrongParts returns what is wrong with the parts of a success; empty if nothing is.
func wrongParts(a reply, serviceOf map[string]string) string {
	named := map[string]int{}
	for _, stamp := range a.parts {
		replica, id, _ := strings.Cut(stamp, ".")
		if id != a.id {
			return "signature " + stamp + " belongs to another request"
		}
		named[serviceOf[replica]]++
	}
	for service, n := range named {
		if n > 1 {
			return fmt.Sprintf("%d signatures of %s", n, service)
		}
	}
	if missing, err := strconv.Atoi(a.missing); err != nil || missing+len(named) != partsShards {
		return fmt.Sprintf("%d parts and %s missing of %d", len(named), a.missing, partsShards)
	}
	return ""
}
