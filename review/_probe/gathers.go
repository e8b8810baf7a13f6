package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// gathers: long searches are gathered by a few daemons of another zone, which are killed, stopped and frozen.
func gathers(f *fleet, trouble bool) ([]finding, error) {
	var all runs
	gather := []string{}
	for s := range 20 {
		name := fmt.Sprintf("shard%d", s)
		gather = append(gather, name)
		for i := range 3 {
			zone := []string{"bzh-west-a", "bzh-west-b", "bzh-west-b"}[i]
			if s%2 == 0 {
				zone = "bzh-west-b"
			}
			r := &replica{id: fmt.Sprintf("i-%s-%d", name, i), service: name, zone: zone, slots: 100, queue: 100, connections: 400, runs: &all}
			r.work = func() time.Duration { return time.Duration((0.1 + 0.6*rand.Float64()) * float64(time.Second)) }
			if err := f.addReplica(r); err != nil {
				return nil, err
			}
		}
	}
	attempts := map[string]int{"one": 1, "two": 2, "three": 3}
	var routes []map[string]any
	for name, n := range attempts {
		routes = append(routes, map[string]any{
			"name": name, "host": "g.example", "prefix": "/" + name + "/", "type": "idempotent", "gather": gather, "top-k": 20,
			"min-coverage": 0.75, "attempts": n, "timeout-ms": 3000, "slo-ms": 1000, "priority": 1,
		})
	}
	f.publish(map[string]any{
		"routes": routes, "services": []map[string]any{{"name": "shard0", "max-conns": 400}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err := f.startDaemons(4); err != nil {
		return nil, err
	}
	cs := &clients{fleet: f}
	end := time.Now().Add(100 * time.Second)
	for name := range attempts {
		cs.load(class{name: "lot", method: "GET", host: "g.example", prefix: "/" + name + "/", idempotent: true, deadline: 2500 * time.Millisecond, perSecond: 8, retries: 1}, 10, end)
	}
	var group sync.WaitGroup
	for trouble && time.Now().Before(end.Add(-5*time.Second)) {
		time.Sleep(time.Duration(200+rand.IntN(2500)) * time.Millisecond)
		group.Go(func() {
			d := f.daemons[rand.IntN(len(f.daemons))]
			if !d.busy.TryLock() {
				return
			}
			defer d.busy.Unlock()
			switch rand.IntN(4) {
			case 0, 1:
				f.signal(d, syscall.SIGKILL)
				<-d.exited
				time.Sleep(time.Duration(20+rand.IntN(700)) * time.Millisecond)
				_ = f.start(d)
			case 2:
				f.signal(d, syscall.SIGTERM)
				<-d.exited
				time.Sleep(time.Duration(20+rand.IntN(300)) * time.Millisecond)
				_ = f.start(d)
			case 3:
				f.signal(d, syscall.SIGSTOP)
				time.Sleep(time.Duration(100+rand.IntN(1900)) * time.Millisecond)
				f.signal(d, syscall.SIGCONT)
			}
		})
	}
	group.Wait()
	cs.group.Wait()
	time.Sleep(time.Second)
	out := cs.check(&all)
	over := 0
	for _, a := range cs.attempts {
		rs := all.byID[a.id]
		if a.status == http.StatusOK {
			if text := cs.wrongSearch(a, rs); text != "" {
				out = append(out, finding{"MIXED", "search id=" + a.id + " " + text})
			}
		}
		on := map[string]map[string]bool{}
		for _, r := range rs {
			if on[r.service] == nil {
				on[r.service] = map[string]bool{}
			}
			on[r.service][r.replica] = true
		}
		allowed := attempts[prefixOf(a.path)]
		for service, replicas := range on {
			if len(replicas) > allowed {
				over++
				f.log.printf("over id=%s service=%s replicas=%d allowed=%d", a.id, service, len(replicas), allowed)
				break
			}
		}
	}
	f.log.printf("searches on more replicas than attempts: %d", over)
	fmt.Println("over", over, "of", len(cs.attempts))
	if over > 3 {
		out = append(out, finding{"BUDGET", fmt.Sprintf("%d searches ran on more replicas of a shard than attempts", over)})
	}
	return out, nil
}

// prefixOf returns the first element of a path.
func prefixOf(path string) string {
	for i := 1; i < len(path); i++ {
		if path[i] == '/' {
			return path[1:i]
		}
	}
	return path[1:]
}
