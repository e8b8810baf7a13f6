package heartbeat

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/knapweedpoint/knapweedpoint/internal/blackboard"
	"github.com/knapweedpoint/knapweedpoint/internal/membership"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
)

// Interval and fan-out of the heartbeats.
const (
	// Interval is the time between two heartbeats.
	Interval = 500 * time.Millisecond
	// FanOut is the number of peers to which one heartbeat is sent in a fleet of more than FullMeshLimit VMs.
	FanOut = 3
	// FullMeshLimit is the size of the largest fleet in which a heartbeat is sent to all peers.
	FullMeshLimit = 32
)

// Outboxes sends messages to peers.
type Outboxes interface {
	Enqueue(to string, n int, add func(e *peerpb.Envelope))
}

// Sender sends heartbeats.
type Sender struct {
	Board    *blackboard.Board
	Outboxes Outboxes
	// OnHeartbeat, when set, is called after each heartbeat.
	OnHeartbeat func()
	// Confirm, when set, is called with a time since which a majority of the VMs has answered.
	Confirm func(at time.Time)
	Rand    *rand.Rand
}

// Run sends heartbeats until the context ends.
func (s *Sender) Run(ctx context.Context) {
	ticker := time.NewTicker(Interval)
	defer ticker.Stop()
	for {
		s.Send()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Send sends one heartbeat to all peers, or to random ones in a large fleet.
func (s *Sender) Send() {
	v := s.Board.View.Get()
	for _, m := range s.recipients(v) {
		s.Outboxes.Enqueue(m.Name, 0, func(*peerpb.Envelope) {})
	}
	if at, ok := v.MajoritySeenAt(time.Now()); ok && s.Confirm != nil {
		s.Confirm(at)
	}
	if s.OnHeartbeat != nil {
		s.OnHeartbeat()
	}
}

func (s *Sender) recipients(v *membership.View) []membership.Member {
	peers := slices.Clone(v.Peers())
	if len(v.Members) <= FullMeshLimit {
		return peers
	}
	s.Rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:FanOut]
}
