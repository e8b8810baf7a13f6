package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Figures of the case extra.
const (
	// extraServices is the number of services, each with two replicas, as the shards of the site have.
	extraServices = 14
	// extraBurst is how many requests to a service come together, each second: more than its replicas can hold at once.
	extraBurst = 14
	// extraShare and extraLength are the dose of the trouble: this share of the answers of one of the two replicas of each service
	// comes twice, for this long.
	extraShare  = 0.04
	extraLength = 5 * time.Second
	extraRounds = 7
)

// extra: replicas send some of their answers twice, the second copy late.
func extra(f *fleet, trouble bool) ([]finding, error) {
	var all runs
	var routes, services []map[string]any
	for s := range extraServices {
		name := fmt.Sprintf("harvestplan-%d", s)
		for i, zone := range []string{"bzh-west-a", "bzh-west-b"} {
			r := &replica{
				id: fmt.Sprintf("i-%06x", 0x7f3a00+16*s+i), service: name, zone: zone, slots: 2, queue: 3, connections: 56,
				work: spread(160 * time.Millisecond), runs: &all,
			}
			if err := f.addReplica(r); err != nil {
				return nil, err
			}
		}
		routes = append(routes, map[string]any{
			"name": name, "host": "grower.example", "prefix": fmt.Sprintf("/file%d/", s), "type": "non_idempotent", "service": name,
			"attempts": 2, "timeout-ms": 2500, "slo-ms": 250, "priority": 2,
		})
		services = append(services, map[string]any{"name": name, "health-path": "/health", "max-conns": 56})
	}
	f.publish(map[string]any{
		"routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err := f.startDaemons(1); err != nil {
		return nil, err
	}
	cs := &clients{fleet: f}
	begin := time.Now()
	end := begin.Add(extraRounds*2*extraLength + extraLength)
	var loads sync.WaitGroup
	for s := range extraServices {
		k := class{
			name: fmt.Sprintf("grower-file%d", s), method: http.MethodPost, host: "grower.example", prefix: fmt.Sprintf("/file%d/", s),
			deadline: 2500 * time.Millisecond, retries: 1,
		}
		loads.Add(1)
		go func() {
			defer loads.Done()
			cs.bursts(k, extraBurst, time.Second, end)
		}()
	}
	for i := range extraRounds {
		time.Sleep(time.Until(begin.Add(time.Duration(2*i+1) * extraLength)))
		if trouble {
			for s := range extraServices {
				f.replicas[2*s+rand.IntN(2)].setLate(extraShare)
			}
			f.log.printf("trouble begins")
		}
		time.Sleep(extraLength)
		for _, r := range f.replicas {
			r.setLate(0)
		}
		f.log.printf("trouble ends")
	}
	loads.Wait()
	cs.group.Wait()
	time.Sleep(time.Second)
	if len(all.byID) < 1000 {
		return nil, errors.New("hardly anything ran")
	}
	return cs.check(&all), nil
}
