package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// junk: another writer puts entries of all shapes under the keys of replicas, and over those of real ones.
func junk(f *fleet, trouble bool) ([]finding, error) {
	var all runs
	for i := range 5 {
		r := &replica{
			id: fmt.Sprintf("i-%06x", 0x7f3a00+i), service: "growerfolio", zone: zones[i%3].name, slots: 3, queue: 12, connections: 84,
			work: spread(20 * time.Millisecond), runs: &all,
		}
		if err := f.addReplica(r); err != nil {
			return nil, err
		}
	}
	f.publish(fileDocument("non_idempotent", "growerfolio"))
	if err := f.startDaemons(4); err != nil {
		return nil, err
	}
	cs := &clients{fleet: f}
	end := time.Now().Add(60 * time.Second)
	cs.load(class{
		name: "grower-file", method: http.MethodPost, host: "grower.example", prefix: "/file/", deadline: 2500 * time.Millisecond, perSecond: 60, retries: 1,
	}, 22, end)
	values := []any{
		nil, true, -1, 0, 1, 1e308, -1e300, 1 << 40, 0.5, "", "x", "growerfolio", "ready", "draining", "bzh-west-a", "127.0.0.1:1", "[::1]:80", "0.0.0.0:0",
		[]any{},
		map[string]any{},
		"\u0000", string(make([]byte, 300)),
	}
	for trouble && time.Now().Before(end) {
		time.Sleep(time.Duration(rand.IntN(10)) * time.Millisecond)
		key := []string{"servers/", "servers/a/b", fmt.Sprintf("servers/j%d", rand.IntN(50)), "servers/\u00e9\ufffd", "op/other", "x", f.replicas[rand.IntN(5)].id}[rand.IntN(7)]
		if len(key) > 2 && key[:2] == "i-" {
			key = "servers/" + key
		}
		entry := map[string]any{
			"service": "growerfolio", "address": "127.0.0.1:1", "zone": "bzh-west-a", "version": "v1", "slots": 3, "state": "ready", "warmup-left-ms": 0, "seq": 1, "born": 1,
		}
		for name := range entry {
			if rand.IntN(4) == 0 {
				entry[name] = values[rand.IntN(len(values))]
			}
		}
		data, _ := json.Marshal(entry)
		switch rand.IntN(6) {
		case 0:
			data = data[:rand.IntN(len(data))]
		case 1:
			data = []byte("null")
		case 2:
			data = nil
		}
		if rand.IntN(10) == 0 {
			f.store.Remove(key)
			continue
		}
		f.store.Put(key, data)
	}
	cs.group.Wait()
	out := cs.check(&all)
	for _, d := range f.daemons {
		select {
		case <-d.exited:
			out = append(out, finding{"CRASH", d.name + " ended"})
		default:
		}
	}
	return out, nil
}
