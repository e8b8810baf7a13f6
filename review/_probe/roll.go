package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

// roll: all daemons are stopped and started in turn, while requests last up to the grace period.
func roll(f *fleet, trouble bool) ([]finding, error) {
	var all runs
	for i, zone := range []string{"bzh-west-a", "bzh-west-a", "bzh-west-b", "bzh-west-b", "bzh-west-c"} {
		r := &replica{id: fmt.Sprintf("i-%06x", 0x7f3a00+i), service: "growerfolio", zone: zone, slots: 200, queue: 12, connections: 500, runs: &all}
		r.work = func() time.Duration { return time.Duration(rand.Float64() * rand.Float64() * 4 * float64(time.Second)) }
		if err := f.addReplica(r); err != nil {
			return nil, err
		}
	}
	gather := []string{}
	for s := range 10 {
		name := fmt.Sprintf("shard%d", s)
		gather = append(gather, name)
		for i, zone := range []string{"bzh-west-a", "bzh-west-b"} {
			r := &replica{id: fmt.Sprintf("i-%s-%d", name, i), service: name, zone: zone, slots: 50, queue: 12, connections: 200, runs: &all}
			r.work = func() time.Duration { return time.Duration(rand.Float64() * rand.Float64() * float64(time.Second)) }
			if err := f.addReplica(r); err != nil {
				return nil, err
			}
		}
	}
	f.publish(map[string]any{
		"routes": []map[string]any{
			{"name": "book", "host": "g.example", "prefix": "/book/", "type": "non_idempotent", "service": "growerfolio", "attempts": 2, "timeout-ms": 6000, "slo-ms": 600, "priority": 2},
			{"name": "file", "host": "g.example", "prefix": "/file/", "type": "idempotent", "service": "growerfolio", "attempts": 2, "timeout-ms": 6000, "slo-ms": 600, "priority": 2},
			{"name": "lot", "host": "g.example", "prefix": "/lot/", "type": "idempotent", "gather": gather, "top-k": 20, "min-coverage": 0.75, "attempts": 2, "timeout-ms": 1500, "slo-ms": 600, "priority": 1},
		},
		"services": []map[string]any{{"name": "growerfolio", "max-conns": 500}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err := f.startDaemons(15); err != nil {
		return nil, err
	}
	cs := &clients{fleet: f}
	end := time.Now().Add(90 * time.Second)
	cs.load(class{name: "book", method: "POST", host: "g.example", prefix: "/book/", deadline: 6 * time.Second, perSecond: 100, retries: 1, long: 200000}, 20, end)
	cs.load(class{name: "file", method: "GET", host: "g.example", prefix: "/file/", idempotent: true, deadline: 6 * time.Second, perSecond: 100, retries: 1}, 20, end)
	cs.load(class{name: "lot", method: "GET", host: "g.example", prefix: "/lot/", idempotent: true, deadline: 1500 * time.Millisecond, perSecond: 60, retries: 1}, 20, end)
	var group sync.WaitGroup
	for trouble && time.Now().Before(end.Add(-12*time.Second)) {
		for _, d := range f.daemons {
			time.Sleep(time.Second)
			group.Go(func() {
				if !d.busy.TryLock() {
					return
				}
				defer d.busy.Unlock()
				f.signal(d, syscall.SIGTERM)
				select {
				case <-d.exited:
				case <-time.After(grace):
					f.signal(d, syscall.SIGKILL)
					<-d.exited
				}
				time.Sleep(500 * time.Millisecond)
				_ = f.start(d)
			})
		}
	}
	group.Wait()
	cs.group.Wait()
	out := cs.check(&all)
	for _, a := range cs.attempts {
		if a.status == 0 && !strings.HasPrefix(a.reason, "connect") && !strings.Contains(a.reason, "timeout") {
			f.log.printf("cut id=%s class=%s after=%s ran=%d %s", a.id, a.class, a.endedAt.Sub(a.sentAt), len(all.byID[a.id]), a.reason)
			if len(all.byID[a.id]) > 0 {
				out = append(out, finding{"LOST", fmt.Sprintf("id=%s %s ran and its connection ended without an answer after %s: %s", a.id, a.class, a.endedAt.Sub(a.sentAt), a.reason)})
			}
		}
	}
	return out, nil
}
