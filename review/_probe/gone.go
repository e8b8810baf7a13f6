package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Figures of the cases gone and silent.
const (
	silentRounds = 7
	silentRound  = 14500 * time.Millisecond
	// silentFor is how long the store answers nothing.
	silentFor = 6 * time.Second
	// silentContact is contact-ms: machines without disruption are in touch so long after the store is back.
	silentContact = 4 * time.Second
	// silentApply is config-apply-ms.
	silentApply = 3 * time.Second
	// silentSlack is added to each bound, for the time between an event and the record of it.
	silentSlack = 100 * time.Millisecond
	// silentWarmup is warmup-s.
	silentWarmup = 3 * time.Second
	// leaveBefore is how long before the store falls silent a replica leaves, leaveServes how long it serves after that.
	leaveBefore = 20 * time.Millisecond
	leaveServes = 15 * time.Second
)

// gone: a replica leaves without saying so first, just before the platform's store answers nothing for some seconds.
func gone(f *fleet, trouble bool) ([]finding, error) {
	var all runs
	next, warmAt := 0, time.Time{}
	add := func() error {
		next++
		return f.addReplica(&replica{
			id: fmt.Sprintf("i-%06x", 0x7f3a00+next), service: "growerfolio", zone: zones[next%len(zones)].name, slots: 3, queue: 12, connections: 84,
			work: spread(60 * time.Millisecond), runs: &all, warmAt: warmAt,
		})
	}
	for range 5 {
		if err := add(); err != nil {
			return nil, err
		}
	}
	f.publish(fileDocument("non_idempotent", "growerfolio"))
	if err := f.startDaemons(3); err != nil {
		return nil, err
	}
	cs := &clients{fleet: f}
	begin := time.Now().Add(3 * time.Second)
	end := begin.Add(silentRounds * silentRound)
	cs.load(class{
		name: "grower-file", method: http.MethodPost, host: "grower.example", prefix: "/file/", deadline: 2500 * time.Millisecond, perSecond: 22, retries: 1,
	}, 22, end)
	from, to := map[*replica]time.Time{}, map[*replica]time.Time{}
	for i := range silentRounds {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * silentRound)))
		r := f.replicas[i]
		r.leave(f)
		time.Sleep(leaveBefore)
		if trouble {
			f.log.printf("store silent")
			f.silent.Store(true)
		}
		time.Sleep(silentFor)
		f.silent.Store(false)
		f.log.printf("store back")
		// From the next outage on, no machine is in touch.
		to[r] = begin.Add(time.Duration(i+1) * silentRound)
		from[r] = time.Now().Add(silentContact + silentSlack)
		time.AfterFunc(leaveServes-silentFor, r.crash)
		time.Sleep(time.Until(begin.Add(time.Duration(i+1)*silentRound - 2*time.Second)))
		warmAt = time.Now().Add(silentWarmup)
		if err := add(); err != nil {
			return nil, err
		}
	}
	cs.group.Wait()
	time.Sleep(time.Second)
	out := cs.check(&all)
	sent := map[string]*attempt{}
	for _, a := range cs.attempts {
		sent[a.id] = a
	}
	for i, r := range f.replicas[:silentRounds] {
		late, last, lost := 0, time.Duration(0), 0
		for id, at := range r.arrivals {
			a := sent[id]
			if a == nil || a.sentAt.Before(from[r]) || !at.Before(to[r]) {
				continue
			}
			late++
			last = max(last, at.Sub(from[r]))
			if a.status != http.StatusOK {
				lost++
			}
			f.log.printf("late round=%d id=%s daemon=%s replica=%s sent %.2f s after the bound, answered %d", i, id, a.daemon, r.id, a.sentAt.Sub(from[r]).Seconds(), a.status)
		}
		if late > 0 {
			out = append(out, finding{"DRAIN", fmt.Sprintf(
				"round %d: %d requests reached %s, whose entry was gone, up to %.2f s after the bound; %d of them were not answered with success",
				i, late, r.id, last.Seconds(), lost)})
		}
	}
	if len(all.byID) < 1000 {
		return nil, errors.New("hardly anything ran")
	}
	return out, nil
}

// fileDocument returns a configuration with one route to a service.
func fileDocument(kind, service string) map[string]any {
	var services []map[string]any
	for _, name := range []string{"growerfolio", "harvestplan"} {
		services = append(services, map[string]any{"name": name, "health-path": "/health", "max-conns": 84, "warmup-s": 3, "warmup-per-s": 0})
	}
	return map[string]any{
		"routes": []map[string]any{{
			"name": "grower-file", "host": "grower.example", "prefix": "/file/", "type": kind, "service": service,
			"attempts": 2, "timeout-ms": 2500, "slo-ms": 250, "priority": 2,
		}},
		"services": services,
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}
