package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"
)

// Figures of the case cold.
const (
	// coldRate is the warmup-per-s of the service, and coldBound what the rules allow in one second.
	coldRate  = 2
	coldBound = coldRate*1.5 + 5
	// coldCrash is the number of requests in one second at which a cold replica crashes: well above its rate, and above the bound.
	coldCrash = 12
	// coldDown is how long a crashed replica is down. Its entry lapses after three heartbeats, which is later.
	coldDown   = 2400 * time.Millisecond
	coldTime   = 3 * time.Second
	coldRounds = 8
)

// cold: a replica crashes, and starts again under its id, cold, before its entry has lapsed.
func cold(f *fleet, trouble bool) ([]finding, error) {
	var all runs
	for i, zone := range []string{"bzh-west-a", "bzh-west-a", "bzh-west-b", "bzh-west-b", "bzh-west-c"} {
		r := &replica{
			id: fmt.Sprintf("i-%06x", 0x7f3a00+i), service: "growerfolio", zone: zone, slots: 3, queue: 12, connections: 84,
			work: spread(60 * time.Millisecond), runs: &all,
		}
		if err := f.addReplica(r); err != nil {
			return nil, err
		}
	}
	f.publish(map[string]any{
		"routes": []map[string]any{{
			"name": "grower-file", "host": "grower.example", "prefix": "/file/", "type": "non_idempotent", "service": "growerfolio",
			"attempts": 2, "timeout-ms": 2500, "slo-ms": 250, "priority": 2,
		}},
		"services": []map[string]any{{"name": "growerfolio", "health-path": "/health", "max-conns": 84, "warmup-s": coldTime.Seconds(), "warmup-per-s": coldRate}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err := f.startDaemons(1); err != nil {
		return nil, err
	}
	cs := &clients{fleet: f}
	begin := time.Now()
	cs.load(class{
		name: "grower-file", method: http.MethodPost, host: "grower.example", prefix: "/file/", deadline: 2500 * time.Millisecond,
		perSecond: 150, retries: 1,
	}, 22, begin.Add((coldRounds+1)*9*time.Second))
	time.Sleep(6 * time.Second)
	for i := range coldRounds {
		r := f.replicas[i%len(f.replicas)]
		next := time.Now().Add(9 * time.Second)
		if trouble {
			r.crash()
			time.Sleep(coldDown)
			if err := r.start(f, coldTime); err != nil {
				return nil, err
			}
		}
		time.Sleep(time.Until(next))
		if r.crashed() {
			if err := r.start(f, 0); err != nil {
				return nil, err
			}
		}
	}
	cs.group.Wait()
	if len(all.byID) < 1000 {
		return nil, errors.New("hardly anything ran")
	}
	return append(cs.check(&all), f.checkCold()...), nil
}

// checkCold compares what cold replicas got with the bound.
func (f *fleet) checkCold() []finding {
	var out []finding
	for _, r := range f.replicas {
		slices.SortFunc(r.arrivals, time.Time.Compare)
		first, most := 0, 0
		for last, at := range r.arrivals {
			for at.Sub(r.arrivals[first]) >= time.Second {
				first++
			}
			most = max(most, last-first+1)
		}
		f.log.printf("cold replica=%s most in one second=%d bound=%g crashes for that=%d requests lost with them=%d", r.id, most, coldBound, r.overloads, r.lost)
		if float64(most) > coldBound {
			out = append(out, finding{"FAILBACK", fmt.Sprintf(
				"%s got %d requests in one second while it was cold, the bound is %g; it crashed for that %d times, with %d requests at work",
				r.id, most, coldBound, r.overloads, r.lost)})
		}
	}
	return out
}
