package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Figures of the case silent alone.
const (
	configRounds = 7
	configRound  = 13500 * time.Millisecond
)

// silent: the platform's store answers nothing for some seconds, and the configuration changes when it is back.
func silent(f *fleet, trouble bool) ([]finding, error) {
	var all runs
	services := []string{"growerfolio", "harvestplan"}
	for s, service := range services {
		for i, zone := range []string{"bzh-west-a", "bzh-west-b", "bzh-west-c"} {
			r := &replica{
				id: fmt.Sprintf("i-%06x", 0x7f3a00+16*s+i), service: service, zone: zone, slots: 3, queue: 12, connections: 84,
				work: spread(20 * time.Millisecond), runs: &all,
			}
			if err := f.addReplica(r); err != nil {
				return nil, err
			}
		}
	}
	f.publish(fileDocument("idempotent", services[0]))
	if err := f.startDaemons(1); err != nil {
		return nil, err
	}
	cs := &clients{fleet: f}
	begin := time.Now()
	end := begin.Add(configRounds*configRound + 4*time.Second)
	cs.load(class{
		name: "grower-file", method: http.MethodGet, host: "grower.example", prefix: "/file/", idempotent: true,
		deadline: 2500 * time.Millisecond, perSecond: 40, retries: 1,
	}, 10, end)
	// judged holds the times from which on the requests of a round must be run by its service, and until when.
	type period struct {
		from, to time.Time
		service  string
	}
	var judged []period
	for i := range configRounds {
		time.Sleep(time.Until(begin.Add(2*time.Second + time.Duration(i)*configRound)))
		if trouble {
			f.log.printf("store silent")
			f.silent.Store(true)
		}
		time.Sleep(silentFor)
		f.silent.Store(false)
		back := time.Now()
		f.log.printf("store back")
		time.Sleep(200 * time.Millisecond)
		service := services[(i+1)%2]
		f.publish(fileDocument("idempotent", service))
		from := back.Add(silentContact + silentSlack)
		if after := time.Now().Add(silentApply + silentSlack); after.After(from) {
			from = after
		}
		judged = append(judged, period{from: from, to: begin.Add(2*time.Second + time.Duration(i+1)*configRound), service: service})
	}
	time.Sleep(time.Until(end))
	cs.group.Wait()
	out := cs.check(&all)
	judgedRequests := 0
	for i, p := range judged {
		late, last := 0, time.Duration(0)
		for _, a := range cs.attempts {
			if a.sentAt.Before(p.from) || !a.sentAt.Before(p.to) {
				continue
			}
			judgedRequests++
			for _, r := range all.byID[a.id] {
				if r.service != p.service {
					late++
					last = max(last, a.sentAt.Sub(p.from))
					f.log.printf("late round=%d id=%s daemon=%s ran at %s", i, a.id, a.daemon, r.service)
					break
				}
			}
		}
		if late > 0 {
			out = append(out, finding{"CONFIG", fmt.Sprintf("round %d: %d requests were run by the old service, the last one %.2f s after the bound", i, late, last.Seconds())})
		}
	}
	fmt.Printf("%d requests judged\n", judgedRequests)
	if judgedRequests < 100 {
		return nil, errors.New("hardly any request was judged")
	}
	return out, nil
}
