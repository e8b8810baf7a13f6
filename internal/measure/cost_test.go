package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/layout"
	"github.com/knapweedpoint/knapweedpoint/internal/node"
	"github.com/knapweedpoint/knapweedpoint/internal/peer"
	"github.com/knapweedpoint/knapweedpoint/internal/peerapi"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
	"github.com/knapweedpoint/knapweedpoint/internal/root"
	"github.com/knapweedpoint/knapweedpoint/pkg/platform"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
	"github.com/knapweedpoint/knapweedpoint/pkg/target"
)

// instantTarget answers every batch without delay.
type instantTarget struct{}

func (instantTarget) Run(_ context.Context, _ string, b *target.Batch) (*target.Reply, error) {
	return &target.Reply{Incarnation: "1", Results: lo.Map(b.Requests, func(q target.Request, _ int) target.Result {
		return target.Result{
			ID: q.ID, Status: target.StatusDone, Snapshot: q.Snapshot, Partitions: q.Partitions,
			Items: json.RawMessage(`[{"partition":"p","record":"0123456789"}]`), Count: 1, End: true,
		}
	})}, nil
}

func (instantTarget) Health(context.Context, string) (target.Health, error) {
	return target.Health{Ready: true, Incarnation: "1"}, nil
}

// singleDaemon returns a serving daemon that is the only one of its fleet.
func singleDaemon(tb testing.TB, services int) *node.Node {
	tb.Helper()
	g := layout.Tochtwering().Groups[0].WithCounts(services, 1)
	d := layout.Tochtwering().WithVMs(1).WithGroups(g)
	n := node.New(node.Options{Name: d.VMName(0), Incarnation: "1", Seed: 1, Runner: instantTarget{}})
	raw, err := json.Marshal(d.Tree(func(string) string { return "127.0.0.1:1" }))
	require.NoError(tb, err)
	n.Acceptor.Offer(raw, "test")
	n.AcceptList(platform.VMList{Revision: 1, VMs: d.VMList(func(string) string { return "127.0.0.1:2" })})
	n.Board.SetPhase(blackboard.Serving{})
	stop := make(chan struct{})
	var confirmed atomic.Bool
	n.Group.Go(func() {
		for {
			n.ConfirmTree(time.Now())
			n.ConfirmList(time.Now())
			confirmed.Store(true)
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
	tb.Cleanup(func() { close(stop); n.Group.Wait() })
	require.Eventually(tb, confirmed.Load, time.Minute, time.Millisecond)
	return n
}

// BenchmarkSearch measures the cost of a search at root and relay in one daemon, by the number of its sub-requests.
func BenchmarkSearch(b *testing.B) {
	for _, n := range []int{4, 20, 100, 420} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			daemon := singleDaemon(b, n)
			time.Sleep(4 * time.Second)
			q := root.Question{Team: "visits", Group: "visitSearch", Kind: settings.KindSearch, Body: []byte(`{"street":"Dorpsstraat"}`), Deadline: 10 * time.Second}
			for range 100 {
				daemon.Root.Ask(context.Background(), q)
			}
			b.ReportAllocs()
			for b.Loop() {
				a := daemon.Root.Ask(context.Background(), q)
				if a.Coverage == nil || a.Coverage.Share != 1 {
					b.Fatal(a)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(n), "us/sub-request")
		})
	}
}

// countingListener counts the bytes that are read and written on its connections.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkExchange measures the cost of one envelope over a socket, at both ends, by the number of results in it.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{0, 1, 8, 32, 128} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var bytes atomic.Int64
			s := httptest.NewUnstartedServer(peerapi.NewServer(singleDaemon(b, 4)))
			s.Listener = countingListener{s.Listener, &bytes}
			s.Start()
			b.Cleanup(s.Close)
			c := &peer.Client{}
			e := &peerpb.Envelope{From: "vm-b1", To: "vm-a1", Beat: &peerpb.Beat{Incarnation: "0193a7c0-0000-7000-8000-000000000001", ConfigurationRevision: 1, ListRevision: 1}}
			for i := range n {
				e.Results = append(e.Results, &peerpb.SubResult{Id: uint64(i) + 1<<40, Status: peerpb.Status_DONE, Target: "visitSearch-01-1", Snapshot: "s1", Partitions: []string{"p-visitSearch-01"}, Items: make([]byte, 100), Incarnation: "visitSearch-01-1-1"})
			}
			address := s.Listener.Addr().String()
			_, err := c.Exchange(context.Background(), address, e)
			require.NoError(b, err)
			bytes.Store(0)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Exchange(context.Background(), address, e); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(bytes.Load())/float64(b.N), "wire-B/op")
		})
	}
}

// BenchmarkTargetRun measures the cost of one batch to a target over a socket, at both ends, by the number of sub-requests in it.
func BenchmarkTargetRun(b *testing.B) {
	for _, n := range []int{1, 4, 16, 64} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				var batch target.Batch
				if json.NewDecoder(req.Body).Decode(&batch) == nil {
					reply, _ := instantTarget{}.Run(req.Context(), "", &batch)
					_ = json.NewEncoder(w).Encode(reply)
				}
			}))
			b.Cleanup(s.Close)
			c := &target.Client{}
			batch := &target.Batch{Requests: lo.Times(n, func(i int) target.Request {
				return target.Request{ID: uint64(i) + 1, Kind: settings.KindSearch, Snapshot: "s1", Partitions: []string{"p"}, Body: json.RawMessage(`{"street":"Dorpsstraat"}`)}
			})}
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Run(context.Background(), s.Listener.Addr().String(), batch); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(n), "us/sub-request")
		})
	}
}
