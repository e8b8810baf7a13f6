package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// The deployment of the case and its disruption: one daemon is killed, stays down for killFor, and is cut off from the
// others for cutFor from its return on.
const (
	coldDaemons  = 6
	coldRate     = 20.0
	coldBound    = coldRate*1.5 + 5
	coldWarmup   = 3 * time.Second
	coldCallers  = 60
	coldPeriod   = 340 * time.Millisecond
	coldDeadline = 1500 * time.Millisecond
	killAt       = 16 * time.Second
	killFor      = 3500 * time.Millisecond
	cutFor       = 5500 * time.Millisecond
	coldTraffic  = 32 * time.Second
	// replicaAt is when the replica starts: while the daemon is cut off.
	replicaAt = killAt + killFor + 2800*time.Millisecond
	// reconnectAfter is the number of requests after which a caller opens a new connection.
	reconnectAfter = 8
)

// seedProxy stands before a seed: it passes on what one daemon sends to the seed, unless it is cut.
type seedProxy struct {
	rig *rig
	cut atomic.Bool
}

// newSeedProxy forwards the gossip and control ports of an address to those of a seed.
func (r *rig) newSeedProxy(ip, seed string) (*seedProxy, error) {
	p := &seedProxy{rig: r}
	u, err := net.ListenPacket("udp4", fmt.Sprintf("%s:%d", ip, r.ports.gossip))
	if err != nil {
		return nil, err
	}
	to, err := net.ResolveUDPAddr("udp4", fmt.Sprintf("%s:%d", seed, r.ports.gossip))
	if err != nil {
		return nil, err
	}
	l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, r.ports.peers))
	if err != nil {
		return nil, err
	}
	r.onClose(func() { _, _ = u.Close(), l.Close() })
	go func() {
		buffer := make([]byte, 64<<10)
		for {
			n, _, err := u.ReadFrom(buffer)
			if err != nil {
				return
			}
			if !p.cut.Load() {
				// The seed answers to the address that the datagram states.
				_, _ = u.WriteTo(buffer[:n], to)
			}
		}
	}()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.forward(c, fmt.Sprintf("%s:%d", seed, r.ports.peers))
		}
	}()
	return p, nil
}

func (p *seedProxy) forward(c net.Conn, to string) {
	defer func() { _ = c.Close() }()
	if p.cut.Load() {
		// Nothing answers behind a cut.
		_, _ = io.Copy(io.Discard, c)
		return
	}
	s, err := net.DialTimeout("tcp4", to, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	go func() { _, _ = io.Copy(s, c) }()
	_, _ = io.Copy(c, s)
}

// coldAfterCut kills one daemon, cuts it off at its return, and lets a replica of a service start, cold, meanwhile.
func coldAfterCut(r *rig) (bool, error) {
	var arrivals struct {
		sync.Mutex
		at []time.Time
		// worst is the largest number of arrivals within a second.
		worst int
	}
	ran := sync.Map{}
	var crashed atomic.Bool
	t := &target{
		rig: r, id: "i-cold", service: "job-desk", zone: "zone-a", slots: 4, queue: 16,
		work: func() time.Duration {
			return 10*time.Millisecond + time.Duration(rand.Int64N(int64(20*time.Millisecond)))
		},
		began: func(_ *target, q *http.Request) { ran.Store(q.Header.Get("X-Request-Id"), true) },
	}
	t.arrived = func(q *http.Request, at time.Time) {
		if !t.cold(at) {
			return
		}
		arrivals.Lock()
		arrivals.at = append(arrivals.at, at)
		for len(arrivals.at) > 0 && at.Sub(arrivals.at[0]) >= time.Second {
			arrivals.at = arrivals.at[1:]
		}
		n := len(arrivals.at)
		arrivals.worst = max(arrivals.worst, n)
		arrivals.Unlock()
		r.logf("arrived %s from %s, %d within a second", q.Header.Get("X-Request-Id"), q.RemoteAddr, n)
		if float64(n) > coldBound && !crashed.Swap(true) {
			r.logf("FAILBACK %d requests within a second, %g are allowed; the replica crashes", n, coldBound)
			t.crash()
		}
	}
	r.put("op/config", map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "job-order", "host": host, "prefix": "/job/", "type": "non_idempotent", "timeout-ms": 1500, "slo-ms": 150,
			"attempts": 2, "priority": 2, "service": "job-desk",
		}},
		"services": []map[string]any{{"name": "job-desk", "max-conns": 208, "health-path": "/health", "warmup-s": coldWarmup.Seconds(), "warmup-per-s": coldRate}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	var seeds, proxied []string
	var proxies []*seedProxy
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s:%d", r.address(1, i+1), r.ports.peers))
		p, err := r.newSeedProxy(r.address(2, i+1), r.address(1, i+1))
		if err != nil {
			return false, err
		}
		proxies = append(proxies, p)
		proxied = append(proxied, fmt.Sprintf("%s:%d", r.address(2, i+1), r.ports.peers))
	}
	var ds []*daemon
	for i := range coldDaemons {
		from := seeds
		if i == coldDaemons-1 {
			from = proxied
		}
		d := r.newDaemon(fmt.Sprintf("front-%d", i+1), "zone-a", r.address(1, i+1), from)
		if err := d.launch(true); err != nil {
			return false, err
		}
		ds = append(ds, d)
	}
	if err := waitReady(ds); err != nil {
		return false, err
	}
	b := r.newBalancer(ds)
	began := time.Now()
	until := began.Add(coldTraffic)
	var group sync.WaitGroup
	if r.options.trouble {
		group.Go(func() {
			victim := ds[coldDaemons-1]
			time.Sleep(time.Until(began.Add(killAt)))
			victim.kill()
			time.Sleep(killFor)
			for _, p := range proxies {
				p.cut.Store(true)
			}
			r.logf("%s is cut off from the other daemons", victim.name)
			if err := victim.launch(false); err != nil {
				r.logf("restart failed: %v", err)
			}
			time.Sleep(cutFor)
			for _, p := range proxies {
				p.cut.Store(false)
			}
			r.logf("the cut of %s ends", victim.name)
		})
	}
	group.Go(func() {
		// The replica starts during traffic, cold from its first entry on.
		time.Sleep(time.Until(began.Add(replicaAt)))
		t.setCold(coldWarmup)
		if err := t.start(r.address(100, 1)); err != nil {
			r.logf("target failed: %v", err)
		}
	})
	answers := sync.Map{}
	for i := range coldCallers {
		group.Go(func() {
			c := r.newCaller(b.pick(nil))
			for n := 0; time.Now().Before(until) && !crashed.Load(); n++ {
				at := time.Now()
				a := c.send(http.MethodPost, fmt.Sprintf("/job/%d/%d", i, n), "job", coldDeadline)
				answers.Store(a.id, a)
				if a.status == 0 || n%reconnectAfter == reconnectAfter-1 {
					c.http.CloseIdleConnections()
					c = r.newCaller(b.pick(nil))
				}
				time.Sleep(time.Until(at.Add(coldPeriod/2 + time.Duration(rand.Int64N(int64(coldPeriod))))))
			}
		})
	}
	group.Wait()
	time.Sleep(500 * time.Millisecond)
	counts, lost := map[int]int{}, 0
	answers.Range(func(id, a any) bool {
		status := a.(reply).status
		counts[status]++
		if _, ok := ran.Load(id); ok && status != http.StatusOK {
			lost++
			r.logf("lost: %v ran and was answered %d", id, status)
		}
		return true
	})
	summary := fmt.Sprintf("attempts by status %v; at most %d requests within a second at the cold replica, %g are allowed; run without an answer %d",
		counts, arrivals.worst, coldBound, lost)
	r.logf("%s", summary)
	fmt.Println(summary)
	return float64(arrivals.worst) > coldBound, nil
}
