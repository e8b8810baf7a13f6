package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// mix: random faults of all kinds, to look for broken rules.
func mix(f *fleet, trouble bool) ([]finding, error) {
	var all runs
	gather := []string{}
	add := func(service, zone string, i int) *replica {
		r := &replica{
			id: fmt.Sprintf("i-%s-%d-%x", service, i, rand.Uint32()), service: service, zone: zone, slots: 2, queue: 4, connections: 56,
			work: spread(8 * time.Millisecond), runs: &all,
		}
		if !strings.HasPrefix(service, "shard") {
			r.work = spread(60 * time.Millisecond)
		}
		if err := f.addReplica(r); err != nil {
			panic(err)
		}
		return r
	}
	for s := range 20 {
		name := fmt.Sprintf("shard%d", s)
		gather = append(gather, name)
		add(name, "bzh-west-a", 0)
		add(name, "bzh-west-b", 1)
	}
	for i, z := range []string{"bzh-west-a", "bzh-west-b", "bzh-west-c"} {
		add("single", z, i)
		add("other", z, i)
	}
	document := func(service string, gather []string) map[string]any {
		return map[string]any{
			"routes": []map[string]any{
				{"name": "book", "host": "g.example", "prefix": "/book/", "type": "non_idempotent", "service": service, "attempts": 2, "timeout-ms": 2500, "slo-ms": 250, "priority": 2},
				{"name": "file", "host": "g.example", "prefix": "/file/", "type": "idempotent", "service": "single", "attempts": 2, "timeout-ms": 2500, "slo-ms": 250, "priority": 2},
				{"name": "lot", "host": "g.example", "prefix": "/lot/", "type": "idempotent", "gather": gather, "top-k": 20, "min-coverage": 0.75, "attempts": 2, "timeout-ms": 800, "slo-ms": 80, "priority": 1},
			},
			"services": []map[string]any{{"name": "single", "max-conns": 84}, {"name": "other", "max-conns": 84}},
			"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		}
	}
	f.publish(document("single", gather))
	if err := f.startDaemons(15); err != nil {
		return nil, err
	}
	cs := &clients{fleet: f}
	end := time.Now().Add(100 * time.Second)
	cs.load(class{name: "book", method: "POST", host: "g.example", prefix: "/book/", deadline: 2500 * time.Millisecond, perSecond: 40, retries: 1, long: 200000, leave: 0.1}, 10, end)
	cs.load(class{name: "file", method: "GET", host: "g.example", prefix: "/file/", idempotent: true, deadline: 2500 * time.Millisecond, perSecond: 30, retries: 1, leave: 0.1}, 10, end)
	cs.load(class{name: "lot", method: "GET", host: "g.example", prefix: "/lot/", idempotent: true, deadline: 800 * time.Millisecond, perSecond: 60, retries: 1, leave: 0.1}, 10, end)
	var group sync.WaitGroup
	pick := func() *replica { return f.replicas[rand.IntN(len(f.replicas))] }
	for trouble && time.Now().Before(end.Add(-5*time.Second)) {
		time.Sleep(time.Duration(rand.IntN(400)) * time.Millisecond)
		group.Go(func() {
			switch rand.IntN(9) {
			case 0, 1:
				r := pick()
				r.setGarble([]string{"extra", "cut", "unframed", "lost", "junk", "early", "slow"}[rand.IntN(7)], 0.2)
				time.Sleep(2 * time.Second)
				r.setGarble("", 0)
			case 2:
				r := pick()
				if !r.crashed() {
					r.crash()
					time.Sleep(time.Duration(rand.IntN(3000)) * time.Millisecond)
					if rand.IntN(2) == 0 {
						r.mu.Lock()
						r.id = fmt.Sprintf("i-%s-n-%x", r.service, rand.Uint32())
						r.mu.Unlock()
					}
					_ = r.start(f)
				}
			case 3, 4:
				d := f.daemons[rand.IntN(len(f.daemons))]
				if d.busy.TryLock() {
					f.signal(d, syscall.SIGKILL)
					<-d.exited
					f.setReady(d, false)
					time.Sleep(300 * time.Millisecond)
					_ = f.start(d)
					d.busy.Unlock()
				}
			case 5:
				d := f.daemons[rand.IntN(len(f.daemons))]
				if d.busy.TryLock() {
					f.signal(d, syscall.SIGTERM)
					<-d.exited
					time.Sleep(300 * time.Millisecond)
					_ = f.start(d)
					d.busy.Unlock()
				}
			case 6:
				d := f.daemons[rand.IntN(len(f.daemons))]
				if d.busy.TryLock() {
					f.signal(d, syscall.SIGSTOP)
					time.Sleep(time.Duration(rand.IntN(2500)) * time.Millisecond)
					f.signal(d, syscall.SIGCONT)
					d.busy.Unlock()
				}
			case 7:
				n := 15 + rand.IntN(6)
				f.publish(document([]string{"single", "other"}[rand.IntN(2)], gather[:n]))
			case 8:
				r := pick()
				r.mu.Lock()
				r.slow = 10
				r.mu.Unlock()
				time.Sleep(2 * time.Second)
				r.mu.Lock()
				r.slow = 1
				r.mu.Unlock()
			}
		})
	}
	group.Wait()
	cs.group.Wait()
	time.Sleep(time.Second)
	out := cs.check(&all)
	for _, a := range cs.attempts {
		if a.class == "lot" && a.status == http.StatusOK {
			if text := cs.wrongSearch(a, all.byID[a.id]); text != "" {
				out = append(out, finding{"MIXED", "search id=" + a.id + " " + text})
			}
		}
	}
	return out, nil
}

func (cs *clients) wrongSearch(a *attempt, rs []run) string {
	stamps := strings.Split(strings.Join(a.header.Values("X-Part-Stamps"), ", "), ", ")
	missing, _ := strconv.Atoi(a.header.Get("X-Missing-Parts"))
	if n := len(stamps) + missing; n < 15 || n > 20 {
		return fmt.Sprintf("parts %d missing %d", len(stamps), missing)
	}
	seen := map[string]bool{}
	var want [][]byte
	for _, s := range stamps {
		found := ""
		for _, r := range rs {
			if s == stamp(r.replica, a.id) {
				found = r.service
			}
		}
		if found == "" || seen[found] {
			return fmt.Sprintf("stamp %q of service %q", s, found)
		}
		seen[found] = true
		b := records(found, a.path, a.id)
		for len(b) >= 16 {
			want = append(want, b[:16])
			b = b[16:]
		}
	}
	slices.SortFunc(want, func(x, y []byte) int { return bytes.Compare(y, x) })
	if !bytes.Equal(slices.Concat(want[:20]...), a.answer) {
		return "has other records than its parts"
	}
	return ""
}
