package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The deployment of the case: two daemons, and a route that each configuration moves to another service with two replicas.
const (
	changePeriod   = 100 * time.Millisecond
	changeDeadline = 600 * time.Millisecond
	// The daemon that does not read the store stands still for freezeFor (the site's node_freeze: count 1, for_s 4). The
	// operator changes the configuration changeAfter its beginning. The reader, which is the first daemon as long as both run,
	// is killed lostAfter the beginning and is down for lostFor (the site's node_kill: count 1, for_s up to 3.5).
	freezeAt = 5 * time.Second
	// readSettles is the time for what was read to reach the other daemon.
	readSettles = 20 * time.Millisecond
	freezeFor   = 1280 * time.Millisecond
	changeAfter = 50 * time.Millisecond
	lostAfter   = 1250 * time.Millisecond
	lostFor     = 700 * time.Millisecond
	// Requests are judged for judgeFor from judgeAfter the return of the killed daemon on: later than contact-ms (4 s), and
	// later than config-apply-ms (3 s) after the acknowledgement.
	judgeAfter = 5 * time.Second
	judgeFor   = 3 * time.Second
	// All that happens changeRounds times, once in changeRound.
	changeRounds = 4
	changeRound  = lostAfter + lostFor + judgeAfter + judgeFor + 1500*time.Millisecond
)

// changeLost changes the configuration while one daemon stands still, and kills the other one just before the first goes on.
func changeLost(r *rig) (bool, error) {
	var services []map[string]any
	for i := range changeRounds + 1 {
		services = append(services, map[string]any{"name": fmt.Sprintf("desk-%d", i), "max-conns": 54, "health-path": "/health"})
	}
	configure := func(version int, service string) {
		r.put("op/config", map[string]any{
			"version": version,
			"routes": []map[string]any{{
				"name": "job-card", "host": host, "prefix": "/card/", "type": "idempotent", "timeout-ms": 600, "slo-ms": 150,
				"attempts": 2, "priority": 2, "service": service,
			}},
			"services": services,
			"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		})
		r.logf("version %d acknowledged: the route goes to %s", version, service)
	}
	// ranBy maps the ids of requests to the service that ran them.
	var ranBy sync.Map
	for i := range 2 * (changeRounds + 1) {
		service := fmt.Sprintf("desk-%d", i/2)
		t := &target{
			rig: r, id: fmt.Sprintf("i-%d", i), service: service, zone: []string{"zone-a", "zone-b"}[i%2], slots: 4, queue: 12,
			work:  func() time.Duration { return 20 * time.Millisecond },
			began: func(t *target, q *http.Request) { ranBy.Store(q.Header.Get("X-Request-Id"), t.service) },
		}
		if err := t.start(r.address(100, i+1)); err != nil {
			return false, err
		}
	}
	configure(1, "desk-0")
	ds, err := r.startFleet(2)
	if err != nil {
		return false, err
	}
	b := r.newBalancer(ds)
	start := time.Now()
	// The period in which requests are judged, in nanoseconds since 1970, the service that must run them, and when the version
	// that says so was acknowledged.
	var judgeFrom, judgeUntil, ackAt atomic.Int64
	var service atomic.Value
	service.Store("desk-0")
	var group sync.WaitGroup
	group.Go(func() {
		for i := range changeRounds {
			at := start.Add(freezeAt + time.Duration(i)*changeRound)
			frozen, lost := ds[1], ds[0]
			time.Sleep(time.Until(at))
			// The round begins just after a read of the store, which one daemon reads about once a second for both.
			for range 2 {
				<-r.reads
			}
			time.Sleep(readSettles)
			at = time.Now()
			if r.options.trouble {
				frozen.signal(syscall.SIGSTOP)
			}
			time.Sleep(changeAfter)
			service.Store(fmt.Sprintf("desk-%d", i+1))
			configure(2+i, service.Load().(string))
			ackAt.Store(time.Now().UnixNano())
			time.Sleep(time.Until(at.Add(lostAfter)))
			if r.options.trouble {
				lost.kill()
			}
			time.Sleep(time.Until(at.Add(freezeFor)))
			if r.options.trouble {
				frozen.signal(syscall.SIGCONT)
			}
			back := at.Add(lostAfter + lostFor)
			time.Sleep(time.Until(back))
			if r.options.trouble {
				if err := lost.launch(false); err != nil {
					r.logf("restart failed: %v", err)
				}
			}
			judgeUntil.Store(back.Add(judgeAfter + judgeFor).UnixNano())
			judgeFrom.Store(back.Add(judgeAfter).UnixNano())
		}
	})
	end := start.Add(freezeAt + changeRounds*changeRound)
	var mu sync.Mutex
	judged, stale := 0, 0
	staleRounds := map[int64]bool{}
	var last time.Duration
	for i := range 4 {
		group.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				at := time.Now()
				c := r.newCaller(b.pick(nil))
				a := c.send(http.MethodGet, fmt.Sprintf("/card/%d/%d", i, n), "", changeDeadline)
				c.http.CloseIdleConnections()
				if sent := at.UnixNano(); sent > judgeFrom.Load() && sent < judgeUntil.Load() {
					by, ran := ranBy.Load(a.id)
					since := time.Duration(sent - ackAt.Load())
					mu.Lock()
					judged++
					if ran && by != service.Load() {
						stale++
						staleRounds[ackAt.Load()] = true
						last = max(last, since)
						r.logf("CONFIG %s sent %.1f s after the acknowledgement to %s was run by %v", a.id, since.Seconds(), c.daemon.name, by)
					}
					mu.Unlock()
				}
				time.Sleep(time.Until(at.Add(changePeriod)))
			}
		})
	}
	group.Wait()
	line := fmt.Sprintf("%d requests judged in %d rounds; in %d rounds %d were run by the service of an earlier version, up to %.1f s after the acknowledgement", judged, changeRounds, len(staleRounds), stale, last.Seconds())
	r.logf("%s", line)
	fmt.Println(line)
	return stale > 0, nil
}
