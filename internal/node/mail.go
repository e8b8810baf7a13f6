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
		n.Root.Lost(q, mayHaveArrived)
	}
}

// Request sends a sub-request to a VM's relay.
func (n *Node) Request(to string, q *peerpb.SubRequest) {
	n.Mailer.Post(to, 1, func(e *peerpb.Envelope) { e.Requests = append(e.Requests, q) })
}

// Cancel tells a VM's relay that the result of a sub-request is no longer needed.
func (n *Node) Cancel(to string, id uint64) {
	n.Mailer.Post(to, 1, func(e *peerpb.Envelope) { e.Cancels = append(e.Cancels, id) })
}

// Result sends the result of a sub-request to the daemon that it came from.
func (n *Node) Result(to string, r *peerpb.SubResult) {
	n.Mailer.Post(to, 1, func(e *peerpb.Envelope) { e.Results = append(e.Results, r) })
}

// AskLease sends a request for a target's lease to its voters.
func (n *Node) AskLease(voters []string, a *peerpb.LeaseAsk) {
	for _, v := range voters {
		n.Mailer.Post(v, 1, func(e *peerpb.Envelope) { e.LeaseAsks = append(e.LeaseAsks, a) })
	}
}

// Claim sends a claim to the witness on a VM.
func (n *Node) Claim(to string, c *peerpb.Claim) {
	n.Mailer.Post(to, 1, func(e *peerpb.Envelope) { e.Claims = append(e.Claims, c) })
}

// Outcome reports a booking's outcome to the witness on a VM.
func (n *Node) Outcome(to string, o *peerpb.ClaimOutcome) {
	c := proto.CloneOf(o)
	n.Mailer.Post(to, 1, func(e *peerpb.Envelope) { e.ClaimOutcomes = append(e.ClaimOutcomes, c) })
}

// Suspect records a request that was in flight when a target's connection was lost and reports it to all other daemons.
func (n *Node) Suspect(s *peerpb.Suspicion) {
	if !n.noteSuspicion(s) {
		return
	}
	for _, m := range n.Board.View.Get().Peers() {
		n.Mailer.Post(m.Name, 1, func(e *peerpb.Envelope) { e.Suspicions = append(e.Suspicions, s) })
	}
}

func (n *Node) noteSuspicion(s *peerpb.Suspicion) bool {
	added := n.Register.Note(s.Fingerprint, s.Target, s.Loss, time.Now())
	if added {
		events.RequestSuspect.Log(n.options.Log, zap.Uint64("fingerprint", s.Fingerprint), zap.String("target", s.Target))
	}
	return added
}
