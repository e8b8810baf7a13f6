package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// The deployment of the case: two daemons, each in a zone of its own, and a route that the second configuration moves to
// another service.
const (
	changePeriod   = 100 * time.Millisecond
	changeDeadline = 600 * time.Millisecond
	// One daemon stands still for freezeFor (the site's node_freeze: count 1, for_s 4). The operator changes the configuration
	// changeAfter its beginning. The other daemon is killed lostAfter the beginning and is down for lostFor (the site's
	// node_kill: count 1, for_s up to 3.5).
	freezeAt    = 8 * time.Second
	changeAfter = 300 * time.Millisecond
	lostAfter   = 3 * time.Second
	lostFor     = 3500 * time.Millisecond
	freezeFor   = 4 * time.Second
	// Requests are judged from judgeAfter the return of the killed daemon on: later than contact-ms (4 s), and much later than
	// config-apply-ms (3 s) after the acknowledgement.
	judgeAfter    = 6 * time.Second
	changeTraffic = 50 * time.Second
)

// changeLost changes the configuration while one daemon stands still, and kills the other one before the first goes on.
func changeLost(r *rig) (bool, error) {
	configure := func(version int, service string) {
		r.put("op/config", map[string]any{
			"version": version,
			"routes": []map[string]any{{
				"name": "job-card", "host": host, "prefix": "/card/", "type": "idempotent", "timeout-ms": 600, "slo-ms": 150,
				"attempts": 2, "priority": 2, "service": service,
			}},
			"services": []map[string]any{
				{"name": "desk-old", "max-conns": 54, "health-path": "/health"},
				{"name": "desk-new", "max-conns": 54, "health-path": "/health"},
			},
			"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		})
		r.logf("version %d acknowledged: the route goes to %s", version, service)
	}
	// ranBy maps the ids of requests to the service that ran them.
	var ranBy sync.Map
	for i := range 4 {
		service := []string{"desk-old", "desk-new"}[i/2]
		t := &target{
			rig: r, id: fmt.Sprintf("i-%d", i), service: service, zone: []string{"zone-a", "zone-b"}[i%2], slots: 4, queue: 12,
			work:  func() time.Duration { return 20 * time.Millisecond },
			began: func(t *target, q *http.Request) { ranBy.Store(q.Header.Get("X-Request-Id"), t.service) },
		}
		if err := t.start(r.address(100, i+1)); err != nil {
			return false, err
		}
	}
	configure(1, "desk-old")
	ds, err := r.startFleet(2)
	if err != nil {
		return false, err
	}
	frozen, lost := ds[0], ds[1]
	b := r.newBalancer(ds)
	start := time.Now()
	var ackAt, judgeFrom atomic.Int64
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(time.Until(start.Add(freezeAt)))
		if r.options.trouble {
			frozen.signal(syscall.SIGSTOP)
		}
		time.Sleep(changeAfter)
		configure(2, "desk-new")
		ackAt.Store(time.Now().UnixNano())
		time.Sleep(time.Until(start.Add(freezeAt + lostAfter)))
		if r.options.trouble {
			lost.kill()
		}
		time.Sleep(time.Until(start.Add(freezeAt + freezeFor)))
		if r.options.trouble {
			frozen.signal(syscall.SIGCONT)
		}
		back := start.Add(freezeAt + lostAfter + lostFor)
		time.Sleep(time.Until(back))
		if r.options.trouble {
			if err := lost.launch(false); err != nil {
				r.logf("restart failed: %v", err)
			}
		}
		judgeFrom.Store(back.Add(judgeAfter).UnixNano())
	})
	var mu sync.Mutex
	judged, stale := 0, 0
	var last time.Duration
	for i := range 4 {
		group.Go(func() {
			for n := 0; time.Since(start) < changeTraffic; n++ {
				at := time.Now()
				c := r.newCaller(b.pick(nil))
				a := c.send(http.MethodGet, fmt.Sprintf("/card/%d/%d", i, n), "", changeDeadline)
				c.http.CloseIdleConnections()
				if from := judgeFrom.Load(); from > 0 && at.UnixNano() > from {
					by, ran := ranBy.Load(a.id)
					mu.Lock()
					judged++
					if ran && by == "desk-old" {
						stale++
						last = max(last, time.Duration(at.UnixNano()-ackAt.Load()))
						r.logf("CONFIG %s sent %.1f s after the acknowledgement of version 2 to %s was run by desk-old", a.id, float64(at.UnixNano()-ackAt.Load())/1e9, c.daemon.name)
					}
					mu.Unlock()
				}
				time.Sleep(time.Until(at.Add(changePeriod)))
			}
		})
	}
	group.Wait()
	line := fmt.Sprintf("%d requests judged, %d of them run by the service of version 1, the last %.1f s after the acknowledgement of version 2", judged, stale, last.Seconds())
	r.logf("%s", line)
	fmt.Println(line)
	return stale > 0, nil
}
