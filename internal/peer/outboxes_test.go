package peer_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/membership"
	"github.com/knapweedpoint/knapweedpoint/internal/peer"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
	"github.com/knapweedpoint/knapweedpoint/pkg/platform"
)

// lossyExchanger loses the first envelopes and delivers the others after some time.
type lossyExchanger struct {
	lost      int64
	sent      atomic.Int64
	delivered atomic.Int64
}

func (x *lossyExchanger) Exchange(context.Context, string, *peerpb.Envelope) (*peerpb.Ack, error) {
	if x.sent.Add(1) <= x.lost {
		return nil, peer.Unacknowledged.New("lost")
	}
	time.Sleep(10 * time.Millisecond)
	x.delivered.Add(1)
	return &peerpb.Ack{}, nil
}

func (x *lossyExchanger) Configuration(context.Context, string, *peerpb.ConfigurationRequest) (*peerpb.ConfigurationReply, error) {
	return nil, peer.NotSent.New("not used")
}

type silentHandler struct{}

func (silentHandler) Heartbeat() *peerpb.Beat                   { return &peerpb.Beat{} }
func (silentHandler) Deliver(*peerpb.Envelope)                  {}
func (silentHandler) HandleAck(string, *peerpb.Beat, time.Time) {}
func (silentHandler) Undelivered(*peerpb.Envelope, bool)        {}

// Guards against a daemon that exits while a booking's outcome or a result for another daemon is still to be sent.
func TestOutboxesAreIdleOnlyAfterTheLastMessage(t *testing.T) {
	for name, c := range map[string]struct {
		lost, delivered int64
		messages        int
	}{
		"delivered":          {0, 1, 1},
		"delivered at third": {2, 1, 1},
		"given up":           {100, 0, 1},
		"heartbeat":          {0, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				board := &blackboard.Board{}
				view := membership.View{Self: "a"}.WithList(platform.VMList{Revision: 1, VMs: []platform.VM{
					{Name: "a", PeerAddress: "a"}, {Name: "b", PeerAddress: "b"},
				}}, time.Now())
				board.View.Set(&view)
				var group sync.WaitGroup
				exchanger := &lossyExchanger{lost: c.lost}
				o := &peer.Outboxes{Exchanger: exchanger, Board: board, Handler: silentHandler{}, Group: &group, Log: zap.NewNop()}
				o.Enqueue("b", c.messages, func(e *peerpb.Envelope) {
					if c.messages > 0 {
						e.ClaimOutcomes = append(e.ClaimOutcomes, &peerpb.ClaimOutcome{})
					}
				})
				for !o.Idle() {
					time.Sleep(time.Millisecond)
				}
				require.Equal(t, c.delivered, exchanger.delivered.Load())
				group.Wait()
				require.True(t, o.Idle())
			})
		})
	}
}
