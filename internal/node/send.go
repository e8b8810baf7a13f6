package node

import (
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/knapweedpoint/knapweedpoint/internal/events"
	"github.com/knapweedpoint/knapweedpoint/internal/peerpb"
)

// Undelivered handles an envelope that a peer did not acknowledge.
func (n *Node) Undelivered(e *peerpb.Envelope, mayHaveArrived bool) {
	for _, q := range e.Requests {
		n.Root.Undelivered(q, mayHaveArrived)
	}
}

// SendRequest sends a sub-request to a VM's relay.
func (n *Node) SendRequest(to string, q *peerpb.SubRequest) {
	n.Outboxes.Enqueue(to, 1, func(e *peerpb.Envelope) { e.Requests = append(e.Requests, q) })
}

// SendCancel tells a VM's relay that the result of a sub-request is no longer needed.
func (n *Node) SendCancel(to string, id uint64) {
	n.Outboxes.Enqueue(to, 1, func(e *peerpb.Envelope) { e.Cancels = append(e.Cancels, id) })
}

// SendResult sends the result of a sub-request to the daemon that it came from.
func (n *Node) SendResult(to string, r *peerpb.SubResult) {
	n.Outboxes.Enqueue(to, 1, func(e *peerpb.Envelope) { e.Results = append(e.Results, r) })
}

// RequestLease sends a request for a target's lease to its voters.
func (n *Node) RequestLease(voters []string, a *peerpb.LeaseAsk) {
	for _, v := range voters {
		n.Outboxes.Enqueue(v, 1, func(e *peerpb.Envelope) { e.LeaseAsks = append(e.LeaseAsks, a) })
	}
}

// SendClaim sends a claim to the witness on a VM.
func (n *Node) SendClaim(to string, c *peerpb.Claim) {
	n.Outboxes.Enqueue(to, 1, func(e *peerpb.Envelope) { e.Claims = append(e.Claims, c) })
}

// SendOutcome reports a booking's outcome to the witness on a VM.
func (n *Node) SendOutcome(to string, o *peerpb.ClaimOutcome) {
	c := proto.CloneOf(o)
	n.Outboxes.Enqueue(to, 1, func(e *peerpb.Envelope) { e.ClaimOutcomes = append(e.ClaimOutcomes, c) })
}

// BroadcastSuspicion records a request that was in flight when a target's connection was lost and reports it to all
// other daemons.
func (n *Node) BroadcastSuspicion(s *peerpb.Suspicion) {
	if !n.recordSuspicion(s) {
		return
	}
	for _, m := range n.Board.View.Get().Peers() {
		n.Outboxes.Enqueue(m.Name, 1, func(e *peerpb.Envelope) { e.Suspicions = append(e.Suspicions, s) })
	}
}

func (n *Node) recordSuspicion(s *peerpb.Suspicion) bool {
	added := n.Register.RecordLoss(s.Fingerprint, s.Target, s.Loss, time.Now())
	if added {
		events.RequestSuspect.Log(n.options.Log, zap.Uint64("fingerprint", s.Fingerprint), zap.String("target", s.Target))
	}
	return added
}
