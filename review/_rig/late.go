package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// The deployment of the case: 36 daemons and six services, each with the replicas, slots, connections and work of a shard of
// visit-finder on the site vtn-zoek.
const (
	lateDaemons  = 36
	lateServices = 6
	lateTargets  = 2
	lateSlots    = 2
	lateQueue    = 4
	lateCallers  = 66
	latePeriod   = 360 * time.Millisecond
	lateDeadline = 1500 * time.Millisecond
	// garbleShare of the targets (the site's largest is 0.6) send an extra copy of garbleAnswers of their answers (0.04), in
	// periods of garbleFor (5 s).
	garbleShare   = 0.5
	garbleAnswers = 0.04
	garbleFor     = 5 * time.Second
	garblePause   = 1 * time.Second
	lateTraffic   = 60 * time.Second
)

// lateExtraRefusal sends requests that may run once to services whose targets are often full. Half of the targets, for some
// seconds at a time, send extra copies of some answers late.
func lateExtraRefusal(r *rig) (bool, error) {
	runs := struct {
		sync.Mutex
		by map[string][]string
	}{by: map[string][]string{}}
	var garbling struct {
		sync.Mutex
		on bool
	}
	for i := range lateServices * lateTargets {
		t := &target{
			rig: r, id: fmt.Sprintf("i-%d", i), service: fmt.Sprintf("job-desk-%d", i%lateServices), zone: "zone-a", slots: lateSlots, queue: lateQueue,
			work: func() time.Duration {
				return 10*time.Millisecond + time.Duration(rand.Int64N(int64(20*time.Millisecond)))
			},
			began: func(t *target, q *http.Request) {
				runs.Lock()
				defer runs.Unlock()
				id := q.Header.Get("X-Request-Id")
				runs.by[id] = append(runs.by[id], t.id)
			},
		}
		if float64(i+1) <= garbleShare*lateServices*lateTargets {
			t.extra = func() bool {
				garbling.Lock()
				defer garbling.Unlock()
				return garbling.on && rand.Float64() < garbleAnswers
			}
		}
		if err := t.start(r.address(100, i+1)); err != nil {
			return false, err
		}
	}
	var routes, services []map[string]any
	for i := range lateServices {
		name := fmt.Sprintf("job-desk-%d", i)
		routes = append(routes, map[string]any{
			"name": "job-order-" + name, "host": host, "prefix": "/" + name + "/", "type": "non_idempotent", "timeout-ms": 1500,
			"slo-ms": 150, "attempts": 2, "priority": 2, "service": name,
		})
		services = append(services, map[string]any{"name": name, "max-conns": 54, "health-path": "/health"})
	}
	r.put("op/config", map[string]any{
		"version": 1, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	ds, err := r.startFleet(lateDaemons)
	if err != nil {
		return false, err
	}
	b := r.newBalancer(ds)
	until := time.Now().Add(lateTraffic)
	if r.options.trouble {
		go func() {
			for time.Now().Before(until) {
				for _, on := range []bool{true, false} {
					garbling.Lock()
					garbling.on = on
					garbling.Unlock()
					r.logf("extra late answers: %v", on)
					if on {
						time.Sleep(garbleFor)
					} else {
						time.Sleep(garblePause)
					}
				}
			}
		}()
	}
	answers := struct {
		sync.Mutex
		by map[string]reply
	}{by: map[string]reply{}}
	var group sync.WaitGroup
	for i := range lateServices * lateCallers {
		group.Add(1)
		go func() {
			defer group.Done()
			c := r.newCaller(b.pick(nil))
			for n := 0; time.Now().Before(until); n++ {
				began := time.Now()
				a := c.send(http.MethodPost, fmt.Sprintf("/job-desk-%d/%d/%d", i%lateServices, i, n), "job", lateDeadline)
				answers.Lock()
				answers.by[a.id] = a
				answers.Unlock()
				left := lateDeadline - time.Since(began)
				if a.promised() && a.retryAfter < left/3 {
					// One retry, as told, with a new attempt on a new connection to another daemon.
					time.Sleep(a.retryAfter)
					other := r.newCaller(b.pick(c.daemon))
					a = other.send(http.MethodPost, fmt.Sprintf("/job-desk-%d/%d/%d", i%lateServices, i, n), "job", lateDeadline-time.Since(began))
					answers.Lock()
					answers.by[a.id] = a
					answers.Unlock()
					other.http.CloseIdleConnections()
				}
				time.Sleep(time.Until(began.Add(latePeriod/2 + time.Duration(rand.Int64N(int64(latePeriod))))))
			}
		}()
	}
	group.Wait()
	// A request that was refused must not run later either.
	time.Sleep(lateDeadline + time.Second)
	runs.Lock()
	defer runs.Unlock()
	answers.Lock()
	defer answers.Unlock()
	counts := map[int]int{}
	twice, refused := 0, 0
	for id, a := range answers.by {
		counts[a.status]++
		if n := len(runs.by[id]); n > 1 {
			twice++
			r.logf("TWICE %s ran %d times, by %v, answered %d", id, n, runs.by[id], a.status)
		} else if n == 1 && a.promised() {
			refused++
			r.logf("REFUSED %s was answered %d and ran, by %v", id, a.status, runs.by[id])
		}
	}
	r.logf("attempts %d, by status %v; ran more than once %d, refused and run once %d", len(answers.by), counts, twice, refused)
	fmt.Printf("attempts %d, by status %v; ran more than once %d, refused and run once %d\n", len(answers.by), counts, twice, refused)
	return twice > 0, nil
}

// startFleet starts daemons in one zone; the first three are the seeds.
func (r *rig) startFleet(n int) ([]*daemon, error) {
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", r.address(1, i+1), r.ports.peers))
	}
	var ds []*daemon
	for i := range n {
		d := r.newDaemon(fmt.Sprintf("front-%d", i+1), "zone-a", r.address(1, i+1), seeds)
		if err := d.launch(true); err != nil {
			return nil, err
		}
		ds = append(ds, d)
	}
	return ds, waitReady(ds)
}
