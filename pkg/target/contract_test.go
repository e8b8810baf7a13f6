package target_test

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/stretchr/testify/require"

	"github.com/knapweedpoint/knapweedpoint/internal/faketarget"
	"github.com/knapweedpoint/knapweedpoint/internal/loopback"
	"github.com/knapweedpoint/knapweedpoint/pkg/settings"
	"github.com/knapweedpoint/knapweedpoint/pkg/target"
)

func batch(requests ...target.Request) *target.Batch {
	return &target.Batch{NotAfter: time.Now().Add(time.Minute).UnixMicro(), Requests: requests}
}

func read(id uint64) target.Request {
	return target.Request{ID: id, Kind: settings.KindSearch, Snapshot: "s1", Partitions: []string{"p"}, Body: json.RawMessage(`{"n":1}`)}
}

// TestTargetContract checks the client and the fake target against the contract, with one fault in each case.
func TestTargetContract(t *testing.T) {
	late := batch(read(1))
	late.NotAfter = 1
	cases := []struct {
		name    string
		faults  faketarget.Faults
		batch   *target.Batch
		status  []string
		reason  string
		refusal string
		leaving bool
		// retryAfter is the hold that the reply asks for, in seconds.
		retryAfter float64
		failure    *errorx.Type
	}{
		{name: "two reads", batch: batch(read(1), read(2)), status: []string{"done", "done"}},
		{name: "booking", batch: batch(target.Request{ID: 1, Kind: settings.KindBooking, Key: "k"}), status: []string{"done"}},
		{name: "started too late", batch: late, refusal: target.RefusalLate},
		{name: "draining", faults: faketarget.Faults{Draining: true}, batch: batch(read(1)), refusal: target.RefusalDraining, leaving: true},
		{name: "leaving", faults: faketarget.Faults{Leaving: true}, batch: batch(read(1)), status: []string{"done"}, leaving: true},
		{name: "shed", faults: faketarget.Faults{Shed: true}, batch: batch(read(1)), refusal: target.RefusalShed},
		{name: "shed with a hold", faults: faketarget.Faults{Shed: true, RetryAfter: 0.25}, batch: batch(read(1)), refusal: target.RefusalShed, retryAfter: 0.25},
		{name: "truncated", faults: faketarget.Faults{Truncate: true}, batch: batch(read(1)), status: []string{"unknown"}, reason: "truncated"},
		{name: "doubled", faults: faketarget.Faults{Duplicate: true}, batch: batch(read(1)), status: []string{"unknown"}, reason: "resultMissing"},
		{name: "out of order", faults: faketarget.Faults{Reorder: true}, batch: batch(read(1), read(2)), status: []string{"done", "done"}},
		{name: "wrong snapshot", faults: faketarget.Faults{WrongSnapshot: "s0"}, batch: batch(read(1)), status: []string{"unknown"}, reason: "snapshotMismatch"},
		{name: "frozen", faults: faketarget.Faults{Frozen: true}, batch: batch(read(1)), failure: target.TimedOut},
		{name: "cut within the status line", faults: faketarget.Faults{CutHead: 12}, batch: batch(read(1)), failure: target.Lost},
		{name: "cut within the length", faults: faketarget.Faults{CutHead: 67}, batch: batch(read(1)), failure: target.Lost},
		{name: "cut within the last line end", faults: faketarget.Faults{CutHead: 1 << 10}, batch: batch(read(1)), failure: target.Lost},
		{name: "crash", faults: faketarget.Faults{CrashOn: `"n":1`}, batch: batch(read(1)), failure: target.Lost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			s := faketarget.NewServer(faketarget.New(faketarget.Options{Name: "t", StartWarm: true, ServiceTimeLogStdDev: 0.01}))
			var group sync.WaitGroup
			group.Go(func() { _ = s.Serve(l) })
			t.Cleanup(func() { s.Target.SetFaults(faketarget.Faults{}); _ = s.Close(); group.Wait() })
			s.Target.SetFaults(c.faults)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			reply, err := (&target.Client{}).Run(ctx, l.Addr().String(), c.batch)
			if c.failure != nil {
				require.True(t, errorx.IsOfType(err, c.failure), "%v", err)
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.refusal, reply.Refusal)
			require.Equal(t, c.leaving, reply.LeavingSaid())
			require.InDelta(t, c.retryAfter, reply.RetryAfter, 0)
			health, err := (&target.Client{}).Health(ctx, l.Addr().String())
			require.NoError(t, err)
			require.Equal(t, target.Health{Ready: true, Incarnation: reply.Incarnation}, health)
			require.Len(t, reply.Results, len(c.status))
			for i, r := range reply.Results {
				require.Equal(t, c.batch.Requests[i].ID, r.ID)
				require.Equal(t, c.status[i], r.Status)
				require.Equal(t, c.reason, r.Reason)
			}
		})
	}
}

func TestRefusedConnectionIsNotHanded(t *testing.T) {
	network, err := loopback.Reserve()
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, network.Close()) })
	_, err = (&target.Client{}).Run(context.Background(), network.Host(0)+":7001", batch(read(1)))
	require.True(t, errorx.IsOfType(err, target.NotSent), "%v", err)
}

func FuzzDecodeReply(f *testing.F) {
	f.Add([]byte(`{"incarnation":"i","results":[{"id":1,"status":"done","snapshot":"s1","partitions":["p"],"items":[1],"count":1,"end":true}]}`))
	f.Add([]byte(`{"incarnation":"i","results":[{"id":1},{"id":1}]}`))
	f.Add([]byte(`{"incarnation":"i","results":[{"id":1,"status":"done","items":{},"end":true}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b := batch(read(1), read(2))
		r, err := target.DecodeReply(data, b)
		if err != nil || r.Refusal != "" {
			return
		}
		require.Len(t, r.Results, len(b.Requests))
		for i, x := range r.Results {
			if x.Status == target.StatusDone {
				require.Equal(t, x, target.CheckResult(b.Requests[i], x))
			}
		}
	})
}
