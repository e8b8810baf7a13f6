package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The deployment of the case: three daemons, one service with two replicas, and callers that keep their connections.
const (
	limitsDaemons  = 3
	limitsCallers  = 66
	limitsPeriod   = 600 * time.Millisecond
	limitsDeadline = 2500 * time.Millisecond
	limitsTraffic  = 30 * time.Second
	// The operator writes the second version at limitsChangeAt. Bodies beyond the earlier limit are sent from limitsLongAt
	// on: later than config-apply-ms (3 s) and contact-ms (4 s) after the store has acknowledged it.
	limitsChangeAt = 8 * time.Second
	limitsLongAt   = limitsChangeAt + 6*time.Second
	// smallLimit and largeLimit are max-body-bytes of the two versions; largeLimit is body_bytes of the site file.
	smallLimit = 65536
	largeLimit = 262144
	smallBody  = 2000
	longBody   = 150000
)

// raisedLimit raises max-body-bytes while callers keep their connections. Without the disruption the first version has the
// large limit already.
func raisedLimit(r *rig) (bool, error) {
	configure := func(version, limit int) {
		r.put("op/config", map[string]any{
			"version": version,
			"routes": []map[string]any{{
				"name": "job-report", "host": host, "prefix": "/report/", "type": "non_idempotent", "timeout-ms": 2500, "slo-ms": 250,
				"attempts": 2, "priority": 2, "service": "job-desk",
			}},
			"services": []map[string]any{{"name": "job-desk", "max-conns": 208, "health-path": "/health"}},
			"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": limit, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		})
		r.logf("version %d acknowledged: max-body-bytes %d", version, limit)
	}
	ran := sync.Map{}
	for i := range 2 {
		t := &target{
			rig: r, id: fmt.Sprintf("i-%d", i), service: "job-desk", zone: "zone-a", slots: 6, queue: 16,
			work:  func() time.Duration { return 10 * time.Millisecond },
			began: func(_ *target, q *http.Request) { ran.Store(q.Header.Get("X-Request-Id"), true) },
		}
		if err := t.start(r.address(100, i+1)); err != nil {
			return false, err
		}
	}
	if r.options.trouble {
		configure(1, smallLimit)
	} else {
		configure(1, largeLimit)
	}
	ds, err := r.startFleet(limitsDaemons)
	if err != nil {
		return false, err
	}
	b := r.newBalancer(ds)
	start := time.Now()
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(time.Until(start.Add(limitsChangeAt)))
		configure(2, largeLimit)
	})
	var mu sync.Mutex
	total, kept, fresh := 0, map[int]int{}, map[int]int{}
	for i := range limitsCallers {
		group.Go(func() {
			// The odd callers open a connection for each request.
			keeps := i%2 == 0
			c := r.newCaller(b.pick(nil))
			for n := 0; time.Since(start) < limitsTraffic; n++ {
				at := time.Now()
				size := smallBody
				long := time.Since(start) > limitsLongAt && n%2 == 0
				if long {
					size = longBody
				}
				if !keeps {
					c.http.CloseIdleConnections()
					c = r.newCaller(b.pick(nil))
				}
				a := c.send(http.MethodPost, fmt.Sprintf("/report/%d/%d", i, n), strings.Repeat("r", size), limitsDeadline)
				mu.Lock()
				total++
				switch {
				case long && keeps:
					kept[a.status]++
				case long:
					fresh[a.status]++
				}
				if a.status == http.StatusRequestEntityTooLarge {
					r.logf("DENIED %s: %d bytes, of %d that are allowed since version 2", a.id, size, largeLimit)
				}
				mu.Unlock()
				time.Sleep(time.Until(at.Add(limitsPeriod/2 + time.Duration(rand.Int64N(int64(limitsPeriod))))))
			}
		})
	}
	group.Wait()
	denied := kept[http.StatusRequestEntityTooLarge] + fresh[http.StatusRequestEntityTooLarge]
	allowed := 5 + total/500
	line := fmt.Sprintf("%d requests, %d denied (allowed: %d); bodies of %d bytes by status: kept connections %v, new connections %v",
		total, denied, allowed, longBody, kept, fresh)
	r.logf("%s", line)
	fmt.Println(line)
	return denied > allowed, nil
}
